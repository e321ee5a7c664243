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
	standinstore "knapweedshore.example/standin/store"
)

// leaseTTL is how long a lease lasts that a script takes.
const leaseTTL = 10 * time.Second

// command executes one line of a script.
type command func(s *site, args []string) error

// faultCommands start or end faults. The bounds of within commands count from
// them.
var faultCommands = map[string]command{
	"crash": func(s *site, args []string) error {
		if len(args) > 0 && args[0] == "watcher" {
			v, err := s.watcher(strings.Join(args[min(2, len(args)):], ""))
			if err == nil {
				s.crash([]*vm{v})
			}
			return err
		}
		vms, err := s.vmArg(args)
		if err == nil {
			s.crash(vms)
		}
		return err
	},
	"start": func(s *site, args []string) error {
		vms, err := s.vmArg(args)
		for i := 0; err == nil && i < len(vms); i++ {
			err = s.restart(vms[i])
		}
		return err
	},
	"freeze": func(s *site, args []string) error { return s.forEachVM(args, (*vm).freeze) },
	"thaw":   func(s *site, args []string) error { return s.forEachVM(args, (*vm).thaw) },
	"cut": func(s *site, args []string) error {
		if len(args) != 2 {
			return errUsage
		}
		return s.cut(args[0], args[1])
	},
	"heal":  func(s *site, args []string) error { s.heal(); return nil },
	"store": storeCommand,
	"backup": func(s *site, _ []string) error {
		s.backup = s.platform.Backup()
		return nil
	},
	"restore": func(s *site, _ []string) error { s.platform.Restore(s.backup); return nil },
	"lease":   lease,
}

// otherCommands do not affect the bounds of within commands, except through the
// writes that they make.
var otherCommands = map[string]command{
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
		d, _, err := cutDuration(args)
		time.Sleep(d)
		return err
	},
	"await": func(s *site, args []string) error { return s.within(time.Now(), 10*time.Second, args) },
	"within": func(s *site, args []string) error {
		d, rest, err := cutDuration(args)
		if err != nil {
			return err
		}
		return s.within(s.lastChange, d, rest)
	},
	"always": func(s *site, args []string) error {
		d, rest, err := cutDuration(args)
		if err != nil {
			return err
		}
		return s.always(d, rest)
	},
	"calls": atMost("store calls for the tables", tableCalls),
	"lists": atMost("reads of the list of VMs", listReads),
}

var errUsage = errors.New("wrong arguments; see the package documentation")

// cutDuration parses the first argument as a duration and returns the others.
func cutDuration(args []string) (time.Duration, []string, error) {
	if len(args) == 0 {
		return 0, nil, errUsage
	}
	d, err := time.ParseDuration(args[0])
	return d, args[1:], err
}

// vmArg returns the VMs that the only argument names.
func (s *site) vmArg(args []string) ([]*vm, error) {
	if len(args) != 1 {
		return nil, errUsage
	}
	return s.lookupVMs(args[0])
}

// forEachVM calls f for the VMs that the only argument names.
func (s *site) forEachVM(args []string, f func(*vm)) error {
	vms, err := s.vmArg(args)
	for _, v := range vms {
		f(v)
	}
	return err
}

// storeCommand starts or ends a fault of the store.
func storeCommand(s *site, args []string) error {
	s.callsBefore, s.storeCommandAt = s.platform.Counts(), time.Now()
	switch strings.Join(args[:min(1, len(args))], "") {
	case "down":
		s.platform.SetDown(true)
	case "throttled":
		s.platform.SetThrottled(true)
	case "slow":
		d, _, err := cutDuration(args[1:])
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

// lease takes or expires a lease: "take watcher quesada-vm3".
func lease(s *site, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	switch args[0] {
	case "take":
		return s.platform.AcquireLease(args[1], args[2], leaseTTL)
	case "lapse":
		s.platform.ExpireLease(args[1])
		return nil
	}
	return errUsage
}

// edit makes an operator's change: "drain POOL SERVER" or "weight POOL SERVER N".
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

// before schedules another operator's change before the next write:
// "write berta weight mapas mapas01 50".
func before(s *site, args []string) error {
	if len(args) < 4 || args[0] != "write" {
		return errUsage
	}
	s.operators.beforeHeadSwap = func() {
		if err := s.edit(args[1], args[2:]); err != nil {
			panic(fmt.Sprintf("change of operator %q: %v", args[1], err))
		}
	}
	return nil
}

// lose loses the answers or requests of the next writes: "answer write",
// "request 6 writes".
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

// atMost returns a command that checks the number of store calls since the last store
// command: "at most 12 in 1s". what names the calls that count selects.
func atMost(what string, count func(standinstore.Counts) int) command {
	return func(s *site, args []string) error {
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
		time.Sleep(time.Until(s.storeCommandAt.Add(d)))
		if n := count(s.platform.Counts()) - count(s.callsBefore); n > limit {
			return errors.Errorf("the site made %d %s in %v, want at most %d", n, what, d, limit)
		}
		return nil
	}
}

func tableCalls(c standinstore.Counts) int { return c.Reads + c.Writes }

func listReads(c standinstore.Counts) int { return c.Lists }

func isUnknownOutcome(err error) bool { return errors.Is(err, store.ErrUnknownOutcome) }

// commands returns all commands of the language for testscript.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){"site": startSite}
	for name, c := range otherCommands {
		all[name] = testscriptCommand(c, false)
	}
	for name, c := range faultCommands {
		all[name] = testscriptCommand(c, true)
	}
	return all
}
