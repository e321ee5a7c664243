package site

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/peerapi"
)

// state is where a balancer is between its start and its end.
type state string

const (
	running state = "running"
	leaving state = "leaving"
	left    state = "left"
	killed  state = "killed"
	joined  state = "joined"
)

// instance is one balancer from its start to its end. last is its status when
// it ended.
type instance struct {
	vm       VM
	balancer Balancer
	state    state
	last     *peerapi.StatusResponse
}

// changeTimes are when the changes of a run happened.
type changeTimes struct {
	drained, leaveBegan, leaveEnded, joined, killed time.Time
	drainedServer, drainedPool                      string
	leaveErr                                        error
}

// Parts of the duration after which the changes come. The crash is last, so
// that all flows that break before it are broken by a planned change.
const (
	drainAfter = 0.2
	leaveAfter = 0.35
	joinAfter  = 0.5
	killAfter  = 0.7
)

// change carries out the changes of the configuration.
func (r *run) change(ctx context.Context) error {
	switch {
	case r.config.NoChanges:
		return nil
	case r.config.Changes == Rolling:
		return r.replaceAll(ctx)
	case r.config.Changes == Crash:
		if sleepUntil(ctx, r.started.Add(time.Duration(float64(r.config.Duration)*crashAfter))) {
			return r.kill(ctx)
		}
		return nil
	}
	return r.changeInTurn(ctx)
}

// changeInTurn carries out all kinds of changes, the crash last.
func (r *run) changeInTurn(ctx context.Context) error {
	var leave conc.WaitGroup
	defer leave.Wait()
	for _, c := range []struct {
		after float64
		do    func(ctx context.Context) error
	}{
		{drainAfter, r.drain},
		{leaveAfter, func(ctx context.Context) error { leave.Go(func() { r.leave(ctx, r.member(0)) }); return nil }},
		{joinAfter, r.join},
		{killAfter, r.kill},
	} {
		at := r.started.Add(time.Duration(float64(r.config.Duration) * c.after))
		if !sleepUntil(ctx, at) {
			return nil
		}
		if err := c.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) drain(ctx context.Context) error {
	service := r.config.Site.Services[int(r.config.Seed)%len(r.config.Site.Services)]
	name := service.Servers[0].Name
	server, err := r.environment.server(service.Name, name)
	if err != nil {
		return err
	}
	if err := r.platform.Drain(ctx, service.Name, name); err != nil {
		return errors.Wrap(err, "drain server")
	}
	server.Drain()
	r.note(func(c *changeTimes) { c.drained, c.drainedPool, c.drainedServer = time.Now(), service.Name, name })
	r.report("server %q of pool %q drains", name, service.Name)
	return nil
}

// leave lets a balancer leave. The fabric hears of it late.
func (r *run) leave(ctx context.Context, m *instance) {
	r.note((*changeTimes).beginLeave)
	r.setState(m, leaving)
	r.report("balancer %q leaves", m.vm.Name)
	stop := time.AfterFunc(fabricLag, func() { r.environment.fabric.RemoveBalancer(m.balancer.DataAddress()) })
	err := m.balancer.Leave(ctx)
	if stop.Stop() {
		r.environment.fabric.RemoveBalancer(m.balancer.DataAddress())
	}
	r.note(func(c *changeTimes) { c.endLeave(err) })
	if err != nil {
		r.report("balancer %q did not leave in order: %v", m.vm.Name, err)
		return
	}
	r.setState(m, left)
	r.report("balancer %q has left", m.vm.Name)
}

// join starts the replacement of the first balancer.
func (r *run) join(ctx context.Context) error { return r.startReplacement(ctx, r.config.Site.VMs[0]) }

func (r *run) startReplacement(ctx context.Context, old VM) error {
	vm := VM{Name: old.Name + "-new", Zone: old.Zone, Capacity: old.Capacity}
	m, err := r.startBalancer(ctx, vm)
	if err != nil {
		return errors.Wrap(err, "join")
	}
	// The balancer that leaves may count or not.
	if err := waitReady(ctx, vm.Name, m.balancer, len(r.config.Site.VMs)); err != nil {
		return errors.Wrap(err, "join")
	}
	r.setState(m, joined)
	r.environment.fabric.AddBalancer(m.balancer.DataAddress(), vm.Zone)
	r.note(func(c *changeTimes) { c.joined = time.Now() })
	r.report("balancer %q has joined", vm.Name)
	return nil
}

// kill crashes the second balancer. The fabric notices it late.
func (r *run) kill(ctx context.Context) error {
	m := r.member(1)
	r.setState(m, killed)
	r.note(func(c *changeTimes) { c.killed = time.Now() })
	m.balancer.Kill()
	r.report("balancer %q was killed", m.vm.Name)
	sleepUntil(ctx, time.Now().Add(fabricLag))
	r.environment.fabric.RemoveBalancer(m.balancer.DataAddress())
	return nil
}

func (r *run) member(i int) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[i]
}

func (r *run) note(f func(c *changeTimes)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.changes)
}

func (r *run) setState(m *instance, f state) {
	status := m.balancer.Status()
	r.mu.Lock()
	defer r.mu.Unlock()
	m.state, m.last = f, status
}
