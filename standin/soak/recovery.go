package soak

import (
	"context"
	"syscall"
	"time"

	"knapweedshore.example/internal/wait"
)

// storeLag is how long the store stays away after the final fault in half of the
// runs.
const storeLag = time.Second

// finalFault kills all daemons at the same moment, right after a change, and starts
// them again.
func (s *site) finalFault(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	defer s.judge.impair(append(s.allDaemons(), storeNode)...)()
	s.configure(true)
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		m.kill()
	}
	wait.For(ctx, startPause)
	away := s.config.Seed%2 == 0
	if away {
		for _, e := range s.endpoints {
			e.SetFault(refusals[0])
		}
	}
	for _, m := range s.machines {
		m.start()
	}
	if away {
		wait.For(ctx, storeLag)
		for _, e := range s.endpoints {
			e.SetFault(0)
		}
	}
}

// checkRecovery checks that all daemons are back and current, and that callers are
// served again.
func (s *site) checkRecovery(ctx context.Context) {
	if !wait.Until(ctx, recoveryBound, func() bool { return s.rotation.InRotation() == len(s.machines) }) && ctx.Err() == nil {
		s.judge.violated("%d of %d daemons in the rotation %s after the final fault", s.rotation.InRotation(), len(s.machines), recoveryBound)
	}
	s.mu.Lock()
	version := uint64(s.version)
	s.mu.Unlock()
	wait.For(ctx, recoveryTime)
	before := s.judge.served()
	wait.For(ctx, recoveryTime)
	for _, m := range s.machines {
		if ctx.Err() != nil {
			return
		}
		state, err := m.status(ctx)
		switch {
		case err != nil:
			s.judge.violated("%s does not tell its status: %v", m.name, err)
		case !state.Ready || state.ConfigVersion != version:
			s.judge.violated("%s is ready=%v on version %d after the final fault, want version %d", m.name, state.Ready, state.ConfigVersion, version)
		}
	}
	after := s.judge.served()
	flows, unserved := after.Flows-before.Flows, after.FailedFlows-before.FailedFlows
	if flows == 0 || unserved > flows*3/4 {
		s.judge.violated("%d of %d flows were served after the final fault, want a quarter", flows-unserved, flows)
	}
	s.probe(ctx)
}

// served returns the counts so far.
func (j *judge) served() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}
