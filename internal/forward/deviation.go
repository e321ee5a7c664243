package forward

import (
	"time"

	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/selection"
)

func entryOf(f *flow.Flow) exception.Entry {
	return exception.Entry{Fingerprint: f.Fingerprint(), Route: f.Route(), Server: f.Server(), Slot: f.Slot()}
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

// close ends a flow and forgets its exception.
func (e *Engine) close(shard *flow.Shard, f *flow.Flow, j *job) {
	e.release(f, j.now)
	shard.Close(f)
	e.metrics.Count(metrics.FlowsClosed, 1)
}

// release gives back what an ended flow holds in other packages.
func (e *Engine) release(f *flow.Flow, now time.Time) {
	e.end(f, now, now)
	if f.Has(flow.Deviated) {
		e.own.Close(f.Fingerprint())
		e.held.Remove(f.Fingerprint())
	}
}
