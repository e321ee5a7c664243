package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	standin "knapweedshore.example/standin/store"
)

// leaseTime is how long the lease of the command lease lasts.
const leaseTime = 10 * time.Second

// command carries out one line of a script.
type command func(s *site, args []string) error

// faults start or end faults; bounds count from them.
var faults = map[string]command{
	"crash": func(s *site, args []string) error {
		if len(args) > 0 && args[0] == "watcher" {
			v, err := s.watcher(strings.Join(args[min(2, len(args)):], ""))
			if err == nil {
				s.crash([]*vm{v})
			}
			return err
		}
		vms, err := s.one(args)
		if err == nil {
			s.crash(vms)
		}
		return err
	},
	"start": func(s *site, args []string) error {
		vms, err := s.one(args)
		for i := 0; err == nil && i < len(vms); i++ {
			err = s.restart(vms[i])
		}
		return err
	},
	"freeze": func(s *site, args []string) error { return s.each(args, (*vm).freeze) },
	"thaw":   func(s *site, args []string) error { return s.each(args, (*vm).thaw) },
	"cut": func(s *site, args []string) error {
		if len(args) != 2 {
			return errUsage
		}
		return s.cut(args[0], args[1])
	},
	"heal":  func(s *site, args []string) error { s.heal(); return nil },
	"store": storeFault,
	"backup": func(s *site, _ []string) error {
		s.backup = s.platform.Backup()
		return nil
	},
	"restore": func(s *site, _ []string) error { s.platform.Restore(s.backup); return nil },
	"lease":   lease,
}

// actions leave the start of bounds to the writes that they make.
var actions = map[string]command{
	"drain":  func(s *site, args []string) error { return s.edit(defaultAuthor, append([]string{"drain"}, args...)) },
	"weight": func(s *site, args []string) error { return s.edit(defaultAuthor, append([]string{"weight"}, args...)) },
	"recover": func(s *site, args []string) error {
		if len(args) != 2 || args[0] != "above" {
			return errUsage
		}
		n, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return err
		}
		return s.recover(tables.Version(n))
	},
	"before": before,
	"lose":   lose,
	"sleep": func(_ *site, args []string) error {
		d, _, err := takeDuration(args)
		time.Sleep(d)
		return err
	},
	"await": func(s *site, args []string) error { return s.within(time.Now(), 10*time.Second, args) },
	"within": func(s *site, args []string) error {
		d, rest, err := takeDuration(args)
		if err != nil {
			return err
		}
		return s.within(s.mark, d, rest)
	},
	"always": func(s *site, args []string) error {
		d, rest, err := takeDuration(args)
		if err != nil {
			return err
		}
		return s.always(d, rest)
	},
	"calls": calls,
}

var errUsage = errors.New("wrong arguments; see the package documentation")

func takeDuration(args []string) (time.Duration, []string, error) {
	if len(args) == 0 {
		return 0, nil, errUsage
	}
	d, err := time.ParseDuration(args[0])
	return d, args[1:], err
}

func (s *site) one(args []string) ([]*vm, error) {
	if len(args) != 1 {
		return nil, errUsage
	}
	return s.named(args[0])
}

func (s *site) each(args []string, f func(*vm)) error {
	vms, err := s.one(args)
	for _, v := range vms {
		f(v)
	}
	return err
}

func storeFault(s *site, args []string) error {
	s.calls, s.called = s.platform.Counts(), time.Now()
	switch strings.Join(args[:min(1, len(args))], "") {
	case "down":
		s.platform.SetDown(true)
	case "throttled":
		s.platform.SetThrottled(true)
	case "slow":
		d, _, err := takeDuration(args[1:])
		if err != nil {
			return err
		}
		s.platform.SetDelay(d)
	case "back":
		s.platform.SetDown(false)
		s.platform.SetThrottled(false)
		s.platform.SetDelay(0)
	default:
		return errUsage
	}
	return nil
}

func lease(s *site, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	switch args[0] {
	case "take":
		return s.platform.AcquireLease(args[1], args[2], leaseTime)
	case "lapse":
		s.platform.ExpireLease(args[1])
		return nil
	}
	return errUsage
}

// edit writes the change that words describe.
func (s *site) edit(author string, words []string) error {
	if len(words) < 3 {
		return errUsage
	}
	_, err := s.write(author, func(current *tables.Snapshot) ([]tables.Operation, error) {
		server, ok := current.Server(words[1], words[2])
		if !ok {
			return nil, errors.Errorf("pool %q has no server %q", words[1], words[2])
		}
		switch {
		case words[0] == "drain" && len(words) == 3:
			server.State = tables.Draining
		case words[0] == "weight" && len(words) == 4:
			n, err := strconv.ParseUint(words[3], 10, 32)
			if err != nil {
				return nil, err
			}
			server.Weight = uint32(n)
		default:
			return nil, errUsage
		}
		server.ID = 0
		return []tables.Operation{tables.PutServer{Pool: words[1], Server: server}}, nil
	})
	return err
}

func before(s *site, args []string) error {
	if len(args) < 4 || args[0] != "write" {
		return errUsage
	}
	s.operators.before = func() {
		if err := s.edit(args[1], args[2:]); err != nil {
			panic(fmt.Sprintf("change of operator %q: %v", args[1], err))
		}
	}
	return nil
}

// lose loses answers or requests: "answer write", "request 6 writes".
func lose(s *site, args []string) error {
	n := 1
	if len(args) == 3 {
		var err error
		if n, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	} else if len(args) != 2 {
		return errUsage
	}
	switch args[0] {
	case "answer":
		s.platform.LoseAnswers(n)
	case "request":
		s.platform.LoseRequests(n)
	default:
		return errUsage
	}
	return nil
}

// calls checks the store calls since the last store command: "at most 12 in 1s".
func calls(s *site, args []string) error {
	if len(args) != 5 || args[0] != "at" || args[1] != "most" || args[3] != "in" {
		return errUsage
	}
	limit, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[4])
	if err != nil {
		return err
	}
	time.Sleep(time.Until(s.called.Add(d)))
	made := countCalls(s.platform.Counts()) - countCalls(s.calls)
	if made > limit {
		return errors.Errorf("the site made %d store calls in %v, want at most %d", made, d, limit)
	}
	return nil
}

func countCalls(c standin.Counts) int { return c.Reads + c.Writes }

func isUnknown(err error) bool { return errors.Is(err, store.ErrUnknownOutcome) }

// commands returns the commands for testscript.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){"site": startSite}
	for name, c := range actions {
		all[name] = adapt(c, false)
	}
	for name, c := range faults {
		all[name] = adapt(c, true)
	}
	return all
}
