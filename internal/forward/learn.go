package forward

import (
	"time"

	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/selection"
)

// InactiveAfter is how long a flow may be idle and still count as load of its
// server. UDP flows have no end that a balancer can see.
const InactiveAfter = 2 * time.Second

// learn tells the policy what a packet has shown about the flow's server.
func (e *Engine) learn(f *flow.Flow, change flow.Change, j *job) {
	if f.Has(flow.Inactive) && f.State() != flow.TCPClosing {
		f.Clear(flow.Inactive)
		e.policy.Opened(f.Server(), j.now)
	}
	if change == 0 {
		return
	}
	if change.Has(flow.WasRefused) {
		e.policy.Failed(f.Server(), j.now)
	} else if change.Has(flow.BecameConfirmed) && !f.Has(flow.Adopted) {
		e.policy.Answered(f.Server(), j.now.Sub(f.Opened()), j.now)
	}
	if change.Has(flow.BecameClosing) {
		e.deactivate(f, j.now)
	}
}

// deactivate takes the flow off the load of its server, once.
func (e *Engine) deactivate(f *flow.Flow, ended time.Time) {
	if f.Has(flow.Inactive) {
		return
	}
	f.Set(flow.Inactive)
	e.policy.Closed(f.Server(), f.Opened(), ended)
}

func entryOf(f *flow.Flow) exception.Entry {
	return exception.Entry{Fingerprint: f.Fingerprint(), Route: f.Route(), Server: f.Server(), Slot: f.Slot()}
}

// deviate marks the flow as one that is not on its default server and makes it
// known to the backup.
func (e *Engine) deviate(f *flow.Flow, entry exception.Entry, j *job) {
	f.Set(flow.Deviated)
	e.own.Add(entry, j.now)
}

// setDeviation notes whether the flow is on its default server.
func (e *Engine) setDeviation(f *flow.Flow, deviated bool, now time.Time) {
	if deviated {
		f.Set(flow.Deviated)
		e.own.Add(entryOf(f), now)
		return
	}
	if f.Has(flow.Deviated) {
		f.Clear(flow.Deviated)
		e.own.Close(f.Fingerprint())
	}
}

// onDefault reports whether the flow is on its default server of these tables.
func (e *Engine) onDefault(f *flow.Flow, t *tableView) bool {
	route, ok := t.RouteFor(f.Address())
	if !ok || route.ID != f.Route() {
		return false
	}
	pool, ok := t.Pool(route.Pool)
	if !ok {
		return false
	}
	server, ok := selection.Default(f.Fingerprint(), pool)
	return ok && server.ID == f.Server()
}

// close ends a flow and forgets its exception.
func (e *Engine) close(shard *flow.Shard, f *flow.Flow, j *job) {
	e.release(f, j.now)
	shard.Close(f)
	e.metrics.Count(metrics.FlowsClosed, 1)
}

// release gives back what an ended flow holds in other packages.
func (e *Engine) release(f *flow.Flow, now time.Time) {
	e.deactivate(f, now)
	if f.Has(flow.Deviated) {
		e.own.Close(f.Fingerprint())
		e.held.Remove(f.Fingerprint())
	}
}
