package entrysite

import (
	"context"
	"fmt"
	"time"

	"knapweedshore.example/standin/platform"
)

// Bounds from the promises.
const (
	// drainBound is how long after its drain a server may get new flows.
	drainBound = 3 * time.Second
	// configBound is within which a configuration is in force on every daemon.
	configBound = 3 * time.Second
	// probePatience bounds one try to open a flow during a check.
	probePatience = 300 * time.Millisecond
)

// change makes the planned changes, an outage of the store and a crash, each
// after its share of the duration.
func (s *site) change(ctx context.Context, began time.Time) error {
	probe, err := platform.NewCaller(s.addr(checkerGroup, 1, dataPort), probePatience)
	if err != nil {
		return err
	}
	defer probe.Close()
	steps := []struct {
		share float64
		what  string
		do    func(ctx context.Context) error
	}{
		{0.10, "a server drains and leaves", s.drainServer},
		{0.15, "a daemon is restarted", func(ctx context.Context) error { return s.restart(ctx, s.daemons[0]) }},
		{0.35, "a route is added", func(ctx context.Context) error { return s.addRoute(ctx, probe) }},
		{0.45, "the route is dropped", func(ctx context.Context) error { return s.dropRoute(ctx, probe) }},
		{0.55, "the store goes away; a daemon crashes and starts again", s.crashWithoutStore},
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

// drainServer lets a server leave as the platform's servers do, and a new one
// take its place.
func (s *site) drainServer(ctx context.Context) error {
	leaving := s.servers[0]
	s.store.Put(leaving.Key(), leaving.Registration("draining"))
	drained := time.Now()
	if err := s.addServer(counterPool, zoneName(0)); err != nil {
		return err
	}
	s.checks.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(2 * drainBound):
			s.store.Delete(leaving.Key())
		}
		if last := leaving.LastOpened(); last.After(drained.Add(drainBound)) {
			s.report.violated("server %s got a flow %s after its drain", leaving.ID, last.Sub(drained))
		}
	})
	return nil
}

// restart lets a daemon leave and starts the next one on its machine.
func (s *site) restart(ctx context.Context, m *machine) error {
	m.stop()
	<-m.done
	if err := m.start(); err != nil {
		return err
	}
	return s.await(ctx, "restarted daemon in rotation", 5*time.Second, func() bool { return s.router.InRotation() == len(s.daemons) })
}

func (s *site) restartAll(ctx context.Context) error {
	for _, m := range s.daemons {
		if err := s.restart(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) addRoute(ctx context.Context, probe *platform.Caller) error {
	s.configure(2, true)
	return s.inForce(ctx, "added route", func(m *machine) bool { return accepted(probe, m.settings.Data, addedAddr) })
}

func (s *site) dropRoute(ctx context.Context, probe *platform.Caller) error {
	s.configure(3, false)
	return s.inForce(ctx, "dropped route", func(m *machine) bool { return refused(probe, m.settings.Data, addedAddr) })
}

// inForce checks that a configuration is in force on every daemon in time.
func (s *site) inForce(ctx context.Context, what string, in func(*machine) bool) error {
	deadline := time.Now().Add(configBound)
	for _, m := range s.daemons {
		err := s.await(ctx, what, time.Until(deadline), func() bool { return in(m) })
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			s.report.violated("%s at %s: not in force within %s", what, m.settings.Name, configBound)
		}
	}
	return nil
}

// crashWithoutStore lets a daemon crash and start again while the store is away.
func (s *site) crashWithoutStore(ctx context.Context) error {
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
