package scenario

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// fillers are words that make scripts readable and mean nothing.
var fillers = []string{"the", "of", "a", "an", "next", "from"}

// Run runs all scripts of a directory as subtests, each in its own bubble.
func Run(t *testing.T, dir string) {
	testscript.RunT(outside{t}, testscript.Params{Dir: dir, Cmds: commands(), Setup: func(e *testscript.Env) error {
		h := &holder{}
		e.Values[holderKey{}] = h
		e.Defer(func() {
			if h.site != nil {
				h.site.close()
			}
		})
		return nil
	}})
}

// outside starts each script in a bubble.
type outside struct{ *testing.T }

// Run implements testscript.T.
func (t outside) Run(name string, f func(testscript.T)) {
	t.T.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { f(inside{t}) })
	})
}

// Verbose implements testscript.T.
func (t outside) Verbose() bool { return testing.Verbose() }

// inside is the test of one script; its bubble must not be parallel, which the
// test around it already is.
type inside struct{ *testing.T }

// Parallel implements testscript.T.
func (t inside) Parallel() {}

// Run implements testscript.T.
func (t inside) Run(string, func(testscript.T)) { panic("a script starts no scripts") }

// Verbose implements testscript.T.
func (t inside) Verbose() bool { return testing.Verbose() }

// holder keeps the site of a script.
type holder struct{ site *site }

type holderKey struct{}

func startSite(ts *testscript.TestScript, neg bool, args []string) {
	h := ts.Value(holderKey{}).(*holder)
	if neg || h.site != nil || len(args) != 1 {
		ts.Fatalf("site needs a region and comes once")
	}
	s, err := newSite(args[0])
	h.site = s
	ts.Check(err)
}

// adapt makes a testscript command. A command that fails as expected, with !,
// leaves its error on stderr. Bounds count from a command that marks.
func adapt(c command, marks bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(holderKey{}).(*holder).site
		if s == nil {
			ts.Fatalf("no site yet")
		}
		if marks {
			s.mark = time.Now()
		}
		args = slices.DeleteFunc(slices.Clone(args), func(w string) bool { return slices.Contains(fillers, w) })
		err := c(s, args)
		switch {
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("succeeded, want an error")
		case err != nil:
			_, _ = ts.Stderr().Write([]byte(err.Error() + "\n"))
		}
		for _, v := range s.vms {
			if v.reverted.Load() {
				ts.Fatalf("%s went back to a lower version", v.name)
			}
		}
	}
}
