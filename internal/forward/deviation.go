package forward

import (
	"time"

	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/selection"
)

// entryOf returns the exception entry of a flow.
func entryOf(f *flow.Flow) exception.Entry {
	return exception.Entry{Fingerprint: f.Fingerprint(), Route: f.Route(), Server: f.Server(), Slot: f.Slot()}
}

// setDeviation records whether the flow deviates from its default server, and
// adds or closes its exception.
func (e *Engine) setDeviation(f *flow.Flow, deviated bool, now time.Time) {
	if deviated {
		f.Set(flow.Deviated)
		e.local.Add(entryOf(f), now)
		return
	}
	if f.Has(flow.Deviated) {
		f.Clear(flow.Deviated)
		e.local.Close(f.Fingerprint())
	}
}

// onDefault reports whether the flow is on its default server according to t.
func (e *Engine) onDefault(f *flow.Flow, t *tableView) bool {
	route, ok := t.RouteByAddress(f.Address())
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

// closeFlow removes a flow that has ended. The shard is locked.
func (e *Engine) closeFlow(shard *flow.Shard, f *flow.Flow, j *job) {
	e.release(f, j.now)
	shard.Close(f)
	e.metrics.Count(metrics.FlowsClosed, 1)
}

// release ends the load of a flow that is about to be removed, and removes its
// exceptions.
func (e *Engine) release(f *flow.Flow, now time.Time) {
	e.endLoad(f, now, now)
	if f.Has(flow.Deviated) {
		e.local.Close(f.Fingerprint())
		e.received.Remove(f.Fingerprint())
	}
}
