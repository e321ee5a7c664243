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
	// pollInterval is the interval at which conditions are evaluated.
	pollInterval = 10 * time.Millisecond
	// finePollInterval is used by always for short periods, to detect short
	// violations. It equals the latency between zones.
	finePollInterval = time.Millisecond
	// maxFinePollPeriod is the longest period polled at finePollInterval.
	maxFinePollPeriod = 10 * time.Second
)

// condition reports whether it holds, and describes the current state for the
// error message.
type condition func() (bool, string)

// within waits until a condition holds, at most until bound after start.
func (s *site) within(start time.Time, bound time.Duration, words []string) error {
	c, err := s.parse(words)
	if err != nil {
		return err
	}
	for {
		ok, state := c()
		elapsed := time.Since(start)
		switch {
		case ok && elapsed <= bound:
			return nil
		case elapsed >= bound:
			return errors.Errorf("not within %v (gave up after %v): %s: %s", bound, elapsed, strings.Join(words, " "), state)
		}
		time.Sleep(pollInterval)
	}
}

// always checks that a condition holds now and throughout a period.
func (s *site) always(period time.Duration, words []string) error {
	c, err := s.parse(words)
	if err != nil {
		return err
	}
	step := pollInterval
	if period <= maxFinePollPeriod {
		step = finePollInterval
	}
	for started := time.Now(); ; time.Sleep(step) {
		if ok, state := c(); !ok {
			return errors.Errorf("violated after %v: %s: %s", time.Since(started), strings.Join(words, " "), state)
		}
		if time.Since(started) >= period {
			return nil
		}
	}
}

// vmCheck is a condition on one VM, with a description of its current state.
type vmCheck struct {
	holds    func(v *vm) bool
	describe func(v *vm) string
}

// parse parses a condition: a check, its arguments and the VMs that it applies to.
func (s *site) parse(words []string) (condition, error) {
	if len(words) >= 2 && words[0] == "store" {
		return s.parseStoreVersion(words[1:])
	}
	negative := len(words) > 0 && words[0] == "no"
	if negative {
		words = words[1:]
	}
	if len(words) == 0 {
		return nil, errUsage
	}
	p, ok := checkParsers[words[0]]
	if !ok || len(words) < 1+p.argCount {
		return nil, errors.Errorf("unknown condition %q", strings.Join(words, " "))
	}
	c, err := p.parse(s, words[1:1+p.argCount])
	if err != nil {
		return nil, err
	}
	if holds := c.holds; negative {
		c.holds = func(v *vm) bool { return !holds(v) }
	}
	return s.forVMs(c, words[1+p.argCount:])
}

// forVMs returns the condition that a check holds on the selected VMs: on all of
// them, or on at least one for somewhere.
func (s *site) forVMs(c vmCheck, words []string) (condition, error) {
	selected, err := s.selector(words)
	if err != nil {
		return nil, err
	}
	anyVM := words[0] == "somewhere"
	return func() (bool, string) {
		var failed []string
		total := 0
		for _, v := range s.vms {
			if !v.running || !selected(v) {
				continue
			}
			total++
			if !c.holds(v) {
				failed = append(failed, fmt.Sprintf("%s: %s", v.name, c.describe(v)))
			}
		}
		ok := total > 0 && (len(failed) == 0 || anyVM && len(failed) < total)
		return ok, fmt.Sprintf("failed on %d of %d VMs: %s", len(failed), total, strings.Join(failed, "; "))
	}, nil
}

// selector parses the WHERE part of a condition.
func (s *site) selector(words []string) (func(*vm) bool, error) {
	switch {
	case len(words) == 1 && (words[0] == "everywhere" || words[0] == "somewhere"):
		return func(v *vm) bool { return !v.frozen }, nil
	case len(words) == 2 && words[0] == "on" && words[1] == "watchers":
		return func(v *vm) bool { return !v.frozen && v.table.View().ShouldWatch() }, nil
	case len(words) == 2 && slices.Contains([]string{"on", "in", "outside"}, words[0]):
		vms, err := s.lookupVMs(words[1])
		outside := words[0] == "outside"
		return func(v *vm) bool {
			return slices.Contains(vms, v) != outside && (!v.frozen || words[0] == "on")
		}, err
	}
	return nil, errors.Errorf("%q is not a selection of VMs", strings.Join(words, " "))
}

// parseStoreVersion parses the condition on the newest version in the store.
func (s *site) parseStoreVersion(words []string) (condition, error) {
	want, err := parseUint(words[len(words)-1])
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

func parseUint(word string) (uint64, error) { return strconv.ParseUint(word, 10, 64) }

// checkParser parses a check with argCount arguments.
type checkParser struct {
	argCount int
	parse    func(s *site, args []string) (vmCheck, error)
}

var checkParsers = map[string]checkParser{
	"version": {1, func(_ *site, args []string) (vmCheck, error) {
		want, err := parseUint(args[0])
		return vmCheck{
			holds:    func(v *vm) bool { return uint64(v.syncer.Version()) == want },
			describe: func(v *vm) string { return fmt.Sprintf("version %d", v.syncer.Version()) },
		}, err
	}},
	"server": {3, func(_ *site, args []string) (vmCheck, error) {
		settings := func(v *vm) string {
			if current := v.syncer.Current(); current != nil {
				if server, ok := current.Server(args[0], args[1]); ok {
					return server.Settings()
				}
			}
			return "no such server"
		}
		return vmCheck{
			holds:    func(v *vm) bool { return slices.Contains(strings.Fields(settings(v)), args[2]) },
			describe: settings,
		}, nil
	}},
	"age": {2, func(_ *site, args []string) (vmCheck, error) {
		limit, err := time.ParseDuration(args[1])
		if args[0] != "over" && args[0] != "under" {
			err = errUsage
		}
		return vmCheck{
			holds:    func(v *vm) bool { return (v.syncer.Age() > limit) == (args[0] == "over") },
			describe: func(v *vm) string { return fmt.Sprintf("age %v", v.syncer.Age()) },
		}, err
	}},
	"standing":     {0, func(*site, []string) (vmCheck, error) { return vmCheck{isEligible, describeEligibility}, nil }},
	"acknowledged": {1, parseAcknowledged},
	"event": {1, func(_ *site, args []string) (vmCheck, error) {
		n, err := parseUint(args[0])
		return vmCheck{
			holds:    func(v *vm) bool { return v.eventCount(int64(n)) > 0 },
			describe: func(v *vm) string { return fmt.Sprintf("event logged %d times", v.eventCount(int64(n))) },
		}, err
	}},
	"dead": {1, parseDead},
}

func isEligible(v *vm) bool            { return v.table.Eligible(time.Now()) }
func describeEligibility(v *vm) string { return fmt.Sprintf("eligible %t", isEligible(v)) }

// parseAcknowledged returns the check that a VM is not eligible, or was
// acknowledged by a peer after its last thaw.
func parseAcknowledged(_ *site, args []string) (vmCheck, error) {
	if args[0] != "standing" {
		return vmCheck{}, errUsage
	}
	return vmCheck{
		holds:    func(v *vm) bool { return !isEligible(v) || v.standingAcknowledged() },
		describe: describeEligibility,
	}, nil
}

// parseDead returns the check that a VM considers exactly the named VMs dead and
// all others alive.
func parseDead(s *site, args []string) (vmCheck, error) {
	var dead []*vm
	if args[0] != "nobody" {
		var err error
		if dead, err = s.lookupVMs(args[0]); err != nil {
			return vmCheck{}, err
		}
	}
	mismatches := func(v *vm) (out []string) {
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
	return vmCheck{
		holds:    func(v *vm) bool { return len(mismatches(v)) == 0 },
		describe: func(v *vm) string { return strings.Join(mismatches(v), ", ") },
	}, nil
}
