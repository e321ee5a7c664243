package scenario

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// ignoredWords may be used in scripts for readability and have no effect.
var ignoredWords = []string{"the", "of", "a", "an", "next", "from"}

// Run runs all scripts of a directory as subtests, each in its own synctest
// bubble.
func Run(t *testing.T, dir string) {
	testscript.RunT(scriptRunner{t}, testscript.Params{Dir: dir, Cmds: commands(), Setup: func(e *testscript.Env) error {
		state := &scriptState{}
		e.Values[stateKey{}] = state
		e.Defer(func() {
			if state.site != nil {
				state.site.close()
			}
		})
		return nil
	}})
}

// scriptRunner is the testscript.T that starts each script in a synctest bubble.
type scriptRunner struct{ *testing.T }

// Run implements testscript.T.
func (t scriptRunner) Run(name string, f func(testscript.T)) {
	t.T.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { f(scriptT{t}) })
	})
}

// Verbose implements testscript.T.
func (t scriptRunner) Verbose() bool { return testing.Verbose() }

// scriptT is the testscript.T of one script. It ignores Parallel, which is not
// allowed inside a bubble; the surrounding subtest already runs in parallel.
type scriptT struct{ *testing.T }

// Parallel implements testscript.T.
func (t scriptT) Parallel() {}

// Run implements testscript.T.
func (t scriptT) Run(string, func(testscript.T)) { panic("scripts cannot start subtests") }

// Verbose implements testscript.T.
func (t scriptT) Verbose() bool { return testing.Verbose() }

// scriptState holds the site of a script.
type scriptState struct{ site *site }

// stateKey is the key of the scriptState in testscript.Env.Values.
type stateKey struct{}

// startSite is the command site.
func startSite(ts *testscript.TestScript, neg bool, args []string) {
	state := ts.Value(stateKey{}).(*scriptState)
	if neg || state.site != nil || len(args) != 1 {
		ts.Fatalf("usage: site REGION, once per script")
	}
	s, err := newSite(args[0])
	state.site = s
	ts.Check(err)
}

// testscriptCommand adapts a command to testscript. A command that fails as
// expected, after !, writes its error to stderr. With isFault, the bounds of later
// within commands count from the start of this command.
func testscriptCommand(c command, isFault bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(stateKey{}).(*scriptState).site
		if s == nil {
			ts.Fatalf("the script has not started a site")
		}
		if isFault {
			s.lastChange = time.Now()
		}
		args = slices.DeleteFunc(slices.Clone(args), func(w string) bool { return slices.Contains(ignoredWords, w) })
		err := c(s, args)
		switch {
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("command succeeded, want an error")
		case err != nil:
			_, _ = ts.Stderr().Write([]byte(err.Error() + "\n"))
		}
		for _, v := range s.vms {
			if v.regressed.Load() {
				ts.Fatalf("VM %s went back to a lower version", v.name)
			}
		}
	}
}
