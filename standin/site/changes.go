package site

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/peerapi"
)

// instanceState is the lifecycle state of a balancer.
type instanceState string

const (
	running instanceState = "running"
	leaving instanceState = "leaving"
	left    instanceState = "left"
	killed  instanceState = "killed"
	joined  instanceState = "joined"
)

// instance is one balancer that the run started.
type instance struct {
	vm         VM
	balancer   Balancer
	state      instanceState
	lastStatus *peerapi.StatusResponse // at the latest change of state
}

// changeLog has the times and details of a run's changes.
type changeLog struct {
	drained, leaveStarted, leaveEnded, joined, killed time.Time
	drainedServer, drainedPool                        string
	leaveErr                                          error
}

// Fractions of the run's duration at which the mixed changes start. The crash is
// last, so that any flow that breaks earlier was broken by a planned change.
const (
	drainFraction = 0.2
	leaveFraction = 0.35
	joinFraction  = 0.5
	killFraction  = 0.7
)

// applyChanges makes the configured changes at their times.
func (r *run) applyChanges(ctx context.Context) error {
	switch {
	case r.config.NoChanges:
		return nil
	case r.config.Changes == Rolling:
		return r.replaceBalancers(ctx)
	case r.config.Changes == Crash:
		if sleepUntil(ctx, r.started.Add(time.Duration(float64(r.config.Duration)*crashFraction))) {
			return r.kill(ctx)
		}
		return nil
	}
	return r.applyMixedChanges(ctx)
}

// applyMixedChanges makes one change of each kind, the crash last.
func (r *run) applyMixedChanges(ctx context.Context) error {
	var leave conc.WaitGroup
	defer leave.Wait()
	for _, c := range []struct {
		fraction float64
		apply    func(ctx context.Context) error
	}{
		{drainFraction, r.drain},
		{leaveFraction, func(ctx context.Context) error { leave.Go(func() { r.leave(ctx, r.instanceAt(0)) }); return nil }},
		{joinFraction, r.join},
		{killFraction, r.kill},
	} {
		at := r.started.Add(time.Duration(float64(r.config.Duration) * c.fraction))
		if !sleepUntil(ctx, at) {
			return nil
		}
		if err := c.apply(ctx); err != nil {
			return err
		}
	}
	return nil
}

// drain drains the first server of a service that the seed selects.
func (r *run) drain(ctx context.Context) error {
	service := r.config.Site.Services[int(r.config.Seed)%len(r.config.Site.Services)]
	name := service.Servers[0].Name
	server, err := r.env.server(service.Name, name)
	if err != nil {
		return err
	}
	if err := r.platform.Drain(ctx, service.Name, name); err != nil {
		return errors.Wrap(err, "drain server")
	}
	server.Drain()
	r.updateChanges(func(c *changeLog) { c.drained, c.drainedPool, c.drainedServer = time.Now(), service.Name, name })
	r.logf("draining server %q of pool %q", name, service.Name)
	return nil
}

// leave makes a balancer leave. The fabric stops choosing it only after
// fabricUpdateDelay.
func (r *run) leave(ctx context.Context, m *instance) {
	r.updateChanges((*changeLog).recordLeaveStart)
	r.setState(m, leaving)
	r.logf("balancer %q is leaving", m.vm.Name)
	stop := time.AfterFunc(fabricUpdateDelay, func() { r.env.fabric.RemoveBalancer(m.balancer.DataAddress()) })
	err := m.balancer.Leave(ctx)
	if stop.Stop() {
		r.env.fabric.RemoveBalancer(m.balancer.DataAddress())
	}
	r.updateChanges(func(c *changeLog) { c.recordLeaveEnd(err) })
	if err != nil {
		r.logf("balancer %q failed to leave: %v", m.vm.Name, err)
		return
	}
	r.setState(m, left)
	r.logf("balancer %q has left", m.vm.Name)
}

// join starts a replacement for the first balancer.
func (r *run) join(ctx context.Context) error { return r.startReplacement(ctx, r.config.Site.VMs[0]) }

// startReplacement starts a balancer in the zone and with the capacity of an old
// VM and adds it to the fabric when it is ready.
func (r *run) startReplacement(ctx context.Context, old VM) error {
	vm := VM{Name: old.Name + "-new", Zone: old.Zone, Capacity: old.Capacity}
	m, err := r.startBalancer(ctx, vm)
	if err != nil {
		return errors.Wrap(err, "join")
	}
	// The leaving balancer may or may not be among the live members.
	if err := waitReady(ctx, vm.Name, m.balancer, len(r.config.Site.VMs)); err != nil {
		return errors.Wrap(err, "join")
	}
	r.setState(m, joined)
	r.env.fabric.AddBalancer(m.balancer.DataAddress(), vm.Zone)
	r.updateChanges(func(c *changeLog) { c.joined = time.Now() })
	r.logf("balancer %q has joined", vm.Name)
	return nil
}

// kill crashes the second balancer. The fabric stops choosing it only after
// fabricUpdateDelay.
func (r *run) kill(ctx context.Context) error {
	m := r.instanceAt(1)
	r.setState(m, killed)
	r.updateChanges(func(c *changeLog) { c.killed = time.Now() })
	m.balancer.Kill()
	r.logf("balancer %q was killed", m.vm.Name)
	sleepUntil(ctx, time.Now().Add(fabricUpdateDelay))
	r.env.fabric.RemoveBalancer(m.balancer.DataAddress())
	return nil
}

func (r *run) instanceAt(i int) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[i]
}

func (r *run) updateChanges(update func(c *changeLog)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.changes)
}

func (r *run) setState(m *instance, state instanceState) {
	status := m.balancer.Status()
	r.mu.Lock()
	defer r.mu.Unlock()
	m.state, m.lastStatus = state, status
}
