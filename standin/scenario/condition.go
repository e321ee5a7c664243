package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
)

const (
	// poll is the period in which conditions are looked at.
	poll = 10 * time.Millisecond
	// finePoll is used for conditions that must hold all the time, so that
	// short breaches are seen. It is as long as a message between zones takes.
	finePoll = time.Millisecond
	// finePeriod bounds the use of finePoll.
	finePeriod = 10 * time.Second
)

// condition reports whether it holds, and what is so if it does not.
type condition func() (bool, string)

// within waits for a condition until a bound after a moment.
func (s *site) within(from time.Time, bound time.Duration, words []string) error {
	c, err := s.parse(words)
	if err != nil {
		return err
	}
	for {
		ok, state := c()
		late := time.Since(from)
		switch {
		case ok && late <= bound:
			return nil
		case late >= bound:
			return errors.Errorf("not within %v (now %v): %s: %s", bound, late, strings.Join(words, " "), state)
		}
		time.Sleep(poll)
	}
}

// always checks that a condition holds now and for a period.
func (s *site) always(period time.Duration, words []string) error {
	c, err := s.parse(words)
	if err != nil {
		return err
	}
	step := poll
	if period <= finePeriod {
		step = finePoll
	}
	for started := time.Now(); ; time.Sleep(step) {
		if ok, state := c(); !ok {
			return errors.Errorf("after %v no longer: %s: %s", time.Since(started), strings.Join(words, " "), state)
		}
		if time.Since(started) >= period {
			return nil
		}
	}
}

// check is a condition on one VM.
type check struct {
	holds func(v *vm) bool
	shows func(v *vm) string
}

// parse reads a condition: a check with its arguments, and where it holds.
func (s *site) parse(words []string) (condition, error) {
	if len(words) >= 2 && words[0] == "store" {
		return s.storeVersion(words[1:])
	}
	negative := len(words) > 0 && words[0] == "no"
	if negative {
		words = words[1:]
	}
	if len(words) == 0 {
		return nil, errUsage
	}
	parser, ok := checks[words[0]]
	if !ok || len(words) < 1+parser.args {
		return nil, errors.Errorf("unknown condition %q", strings.Join(words, " "))
	}
	c, err := parser.parse(s, words[1:1+parser.args])
	if err != nil {
		return nil, err
	}
	if holds := c.holds; negative {
		c.holds = func(v *vm) bool { return !holds(v) }
	}
	return s.where(c, words[1+parser.args:])
}

// where applies a check to the VMs that words select.
func (s *site) where(c check, words []string) (condition, error) {
	pick, err := s.selector(words)
	if err != nil {
		return nil, err
	}
	some := words[0] == "somewhere"
	return func() (bool, string) {
		var failed []string
		picked := 0
		for _, v := range s.vms {
			if !v.alive || !pick(v) {
				continue
			}
			picked++
			if !c.holds(v) {
				failed = append(failed, fmt.Sprintf("%s has %s", v.name, c.shows(v)))
			}
		}
		ok := picked > 0 && (len(failed) == 0 || some && len(failed) < picked)
		return ok, fmt.Sprintf("%d of %d VMs: %s", len(failed), picked, strings.Join(failed, "; "))
	}, nil
}

func (s *site) selector(words []string) (func(*vm) bool, error) {
	switch {
	case len(words) == 1 && (words[0] == "everywhere" || words[0] == "somewhere"):
		return func(v *vm) bool { return !v.frozen }, nil
	case len(words) == 2 && words[0] == "on" && words[1] == "watchers":
		return func(v *vm) bool { return !v.frozen && v.table.View().ShouldWatch() }, nil
	case len(words) == 2 && slices.Contains([]string{"on", "in", "outside"}, words[0]):
		vms, err := s.named(words[1])
		outside := words[0] == "outside"
		return func(v *vm) bool {
			return slices.Contains(vms, v) != outside && (!v.frozen || words[0] == "on")
		}, err
	}
	return nil, errors.Errorf("%q selects no VMs", strings.Join(words, " "))
}

func (s *site) storeVersion(words []string) (condition, error) {
	want, err := number(words[len(words)-1])
	if err != nil || len(words) != 2 {
		return nil, errUsage
	}
	return func() (bool, string) {
		head, err := tables.DecodeHead(s.platform.Backup()[tables.HeadKey])
		if err != nil {
			return false, err.Error()
		}
		return uint64(head.Version) == want, fmt.Sprintf("the store has version %d", head.Version)
	}, nil
}

func number(word string) (uint64, error) { return strconv.ParseUint(word, 10, 64) }

// checkParser reads the arguments of a check.
type checkParser struct {
	args  int
	parse func(s *site, args []string) (check, error)
}

var checks = map[string]checkParser{
	"version": {1, func(_ *site, args []string) (check, error) {
		want, err := number(args[0])
		return check{
			holds: func(v *vm) bool { return uint64(v.syncer.Version()) == want },
			shows: func(v *vm) string { return fmt.Sprintf("version %d", v.syncer.Version()) },
		}, err
	}},
	"server": {3, func(_ *site, args []string) (check, error) {
		settings := func(v *vm) string {
			if current := v.syncer.Current(); current != nil {
				if server, ok := current.Server(args[0], args[1]); ok {
					return server.Settings()
				}
			}
			return "no such server"
		}
		return check{
			holds: func(v *vm) bool { return slices.Contains(strings.Fields(settings(v)), args[2]) },
			shows: settings,
		}, nil
	}},
	"age": {2, func(_ *site, args []string) (check, error) {
		limit, err := time.ParseDuration(args[1])
		if args[0] != "over" && args[0] != "under" {
			err = errUsage
		}
		return check{
			holds: func(v *vm) bool { return (v.syncer.Age() > limit) == (args[0] == "over") },
			shows: func(v *vm) string { return fmt.Sprintf("age %v", v.syncer.Age()) },
		}, err
	}},
	"standing":     {0, func(*site, []string) (check, error) { return check{hasStanding, showStanding}, nil }},
	"acknowledged": {1, acknowledgedStanding},
	"event": {1, func(_ *site, args []string) (check, error) {
		n, err := number(args[0])
		return check{
			holds: func(v *vm) bool { return v.logged(int64(n)) > 0 },
			shows: func(v *vm) string { return fmt.Sprintf("logged it %d times", v.logged(int64(n))) },
		}, err
	}},
	"dead": {1, deadMembers},
}

func hasStanding(v *vm) bool    { return v.table.Eligible(time.Now()) }
func showStanding(v *vm) string { return fmt.Sprintf("standing %t", hasStanding(v)) }

func acknowledgedStanding(_ *site, args []string) (check, error) {
	if args[0] != "standing" {
		return check{}, errUsage
	}
	return check{
		holds: func(v *vm) bool { return !hasStanding(v) || v.acknowledged() },
		shows: showStanding,
	}, nil
}

// deadMembers checks that a VM considers exactly the named ones dead and all
// others alive.
func deadMembers(s *site, args []string) (check, error) {
	var dead []*vm
	if args[0] != "nobody" {
		var err error
		if dead, err = s.named(args[0]); err != nil {
			return check{}, err
		}
	}
	wrong := func(v *vm) (out []string) {
		view := v.table.View()
		for _, other := range s.vms {
			want := member.Alive
			if slices.Contains(dead, other) {
				want = member.Dead
			}
			if m, ok := view.Get(other.name); !ok || m.State != want {
				out = append(out, fmt.Sprintf("%s %s", other.name, m.State))
			}
		}
		return out
	}
	return check{
		holds: func(v *vm) bool { return len(wrong(v)) == 0 },
		shows: func(v *vm) string { return strings.Join(wrong(v), ", ") },
	}, nil
}
