package entrysite

import (
	"context"
	"fmt"
	"time"

	"knapweedshore.example/standin/platform"
)

// Time limits of the promises and of checks.
const (
	// drainBound is how long a server may still get new flows after its drain has
	// started.
	drainBound = 3 * time.Second
	// configBound is the time within which every daemon applies a configuration.
	configBound = 3 * time.Second
	// probeTimeout limits one attempt to open a flow during a check.
	probeTimeout = 300 * time.Millisecond
)

// playChanges makes the planned changes, a store outage and a crash. Each begins after
// a share of the duration.
func (s *site) playChanges(ctx context.Context, began time.Time) error {
	prober, err := platform.NewCaller(s.addr(proberGroup, 1, dataPort), probeTimeout)
	if err != nil {
		return err
	}
	defer prober.Close()
	steps := []struct {
		share float64
		what  string
		do    func(ctx context.Context) error
	}{
		{0.10, "a server drains and leaves", s.drainServer},
		{0.15, "a daemon is restarted", func(ctx context.Context) error { return s.restart(ctx, s.daemons[0]) }},
		{0.35, "a route is added", func(ctx context.Context) error { return s.addRoute(ctx, prober) }},
		{0.45, "the route is dropped", func(ctx context.Context) error { return s.dropRoute(ctx, prober) }},
		{0.55, "the store is unavailable; a daemon crashes and restarts", s.crashDuringStoreOutage},
		{0.75, "every daemon is restarted in turn", s.restartAll},
	}
	for _, step := range steps {
		at := began.Add(time.Duration(step.share * float64(s.config.Duration)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(at)):
		}
		s.progress(fmt.Sprintf("%5.1fs %s", time.Since(began).Seconds(), step.what))
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// drainServer drains a server, adds a new one to its pool, and removes the registration
// of the first one later.
func (s *site) drainServer(ctx context.Context) error {
	leaving := s.servers[0]
	s.store.Put(leaving.Key(), leaving.Registration("draining"))
	drainStart := time.Now()
	if err := s.addServer(counterPool, zoneName(0)); err != nil {
		return err
	}
	s.checks.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(2 * drainBound):
			s.store.Delete(leaving.Key())
		}
		if last := leaving.LastOpened(); last.After(drainStart.Add(drainBound)) {
			s.report.addViolation("server %s got a flow %s after the start of its drain", leaving.ID, last.Sub(drainStart))
		}
	})
	return nil
}

// restart stops the daemon of a machine gracefully, starts a new one and waits until
// it is in the rotation.
func (s *site) restart(ctx context.Context, m *machine) error {
	m.stop()
	<-m.done
	if err := m.start(); err != nil {
		return err
	}
	return s.await(ctx, "restarted daemon in rotation", 5*time.Second, func() bool { return s.router.InRotation() == len(s.daemons) })
}

// restartAll restarts the daemons one after the other.
func (s *site) restartAll(ctx context.Context) error {
	for _, m := range s.daemons {
		if err := s.restart(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) addRoute(ctx context.Context, prober *platform.Caller) error {
	s.configure(2, true)
	return s.checkInForce(ctx, "added route", func(m *machine) bool { return flowAccepted(prober, m.settings.Data, addedAddr) })
}

func (s *site) dropRoute(ctx context.Context, prober *platform.Caller) error {
	s.configure(3, false)
	return s.checkInForce(ctx, "dropped route", func(m *machine) bool { return flowRefused(prober, m.settings.Data, addedAddr) })
}

// checkInForce checks that every daemon applies a configuration within configBound.
func (s *site) checkInForce(ctx context.Context, what string, applied func(*machine) bool) error {
	deadline := time.Now().Add(configBound)
	for _, m := range s.daemons {
		err := s.await(ctx, what, time.Until(deadline), func() bool { return applied(m) })
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			s.report.addViolation("%s at %s: not applied within %s", what, m.settings.Name, configBound)
		}
	}
	return nil
}

// crashDuringStoreOutage kills a daemon and starts it again while the store is
// unavailable.
func (s *site) crashDuringStoreOutage(ctx context.Context) error {
	for _, m := range s.daemons {
		m.endpoint.SetFault(platform.Unavailable)
	}
	m := s.daemons[len(s.daemons)-1]
	m.daemon.Kill()
	<-m.done
	m.stop()
	if err := m.start(); err != nil {
		return err
	}
	err := s.await(ctx, "crashed daemon in rotation again", 5*time.Second, func() bool { return s.router.InRotation() == len(s.daemons) })
	for _, m := range s.daemons {
		m.endpoint.SetFault(platform.NoFault)
	}
	return err
}
