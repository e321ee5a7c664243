package soak

import (
	"context"
	"syscall"
	"time"

	"knapweedshore.example/internal/wait"
)

// storeReturnDelay is the time for which the store stays unavailable after the start of
// the daemons in finalFault, in half of the runs.
const storeReturnDelay = time.Second

// finalFault kills all daemons at once, right after a change of the configuration, and
// starts them again.
func (s *site) finalFault(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	defer s.checker.impair(append(s.allDaemonNodes(), storeNode)...)()
	s.configure(true)
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		m.kill()
	}
	wait.For(ctx, restartDelay)
	storeDown := s.config.Seed%2 == 0
	if storeDown {
		for _, e := range s.endpoints {
			e.SetFault(storeOutages[0])
		}
	}
	for _, m := range s.machines {
		m.start()
	}
	if storeDown {
		wait.For(ctx, storeReturnDelay)
		for _, e := range s.endpoints {
			e.SetFault(0)
		}
	}
}

// checkRecovery checks that all daemons are in the rotation and have the current
// configuration, and that flows are served again.
func (s *site) checkRecovery(ctx context.Context) {
	if !wait.Until(ctx, recoveryBound, func() bool { return s.router.InRotation() == len(s.machines) }) && ctx.Err() == nil {
		s.checker.addViolation("%d of %d daemons in the rotation %s after the final fault", s.router.InRotation(), len(s.machines), recoveryBound)
	}
	s.mu.Lock()
	version := uint64(s.version)
	s.mu.Unlock()
	wait.For(ctx, recoveryTime)
	before := s.checker.currentCounts()
	wait.For(ctx, recoveryTime)
	for _, m := range s.machines {
		if ctx.Err() != nil {
			return
		}
		state, err := m.queryStatus(ctx)
		switch {
		case err != nil:
			s.checker.addViolation("no status from %s: %v", m.name, err)
		case !state.Ready || state.ConfigVersion != version:
			s.checker.addViolation("%s has ready=%v and configuration version %d after the final fault, want ready and version %d", m.name, state.Ready, state.ConfigVersion, version)
		}
	}
	after := s.checker.currentCounts()
	flows, failed := after.Flows-before.Flows, after.FailedFlows-before.FailedFlows
	if flows == 0 || failed > flows*3/4 {
		s.checker.addViolation("%d of %d flows were served after the final fault, want at least a quarter", flows-failed, flows)
	}
	s.probe(ctx)
}

// currentCounts returns a copy of the counts.
func (c *checker) currentCounts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
