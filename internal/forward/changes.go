package forward

import (
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/tables"
)

// ApplyTables makes a version of the tables current for new flows and for
// finding the direction of packets. The caller must then call Reassess for the
// established flows.
func (e *Engine) ApplyTables(s *tables.Snapshot, now time.Time) {
	var earlierPools history
	if last := e.tables.Load(); last != nil {
		earlierPools = last.earlierPools.next(last.Snapshot, s)
	}
	e.policy.Apply(s, now)
	e.tables.Store(newTableView(s, earlierPools))
}

// Reassess finds the flows that a change of the tables has moved off their
// default server, or back to it, and adds or closes their exceptions. It locks
// one shard at a time and checks only flows of routes that changed.
func (e *Engine) Reassess(old, current *tables.Snapshot, now time.Time) {
	changed := changedRoutes(old, current)
	if len(changed) == 0 {
		return
	}
	view := newTableView(current, nil)
	e.eachFlow(func(_ *flow.Shard, f *flow.Flow) {
		if _, ok := changed[f.Route()]; ok {
			e.setDeviation(f, !e.onDefault(f, view), now)
		}
	})
}

// walkBatch is how many entries a walk over all flows visits while it holds the
// lock of a shard. With 500,000 flows, locking a whole shard took 5 ms when
// every pool had changed; the packet path should wait for less than 1 ms.
const walkBatch = 128

// eachFlow calls fn for every flow, with its shard locked. It releases the lock
// after each batch of walkBatch entries.
func (e *Engine) eachFlow(fn func(*flow.Shard, *flow.Flow)) {
	for i := range e.flows.Shards() {
		walkShard(e.flows.ShardAt(i), fn)
	}
}

// walkShard calls fn for every flow of one shard, as eachFlow does.
func walkShard(shard *flow.Shard, fn func(*flow.Shard, *flow.Flow)) {
	position := 0
	for {
		shard.Lock()
		position = shard.EachFrom(position, walkBatch, func(f *flow.Flow) bool {
			fn(shard, f)
			return true
		})
		shard.Unlock()
		if position == 0 {
			return
		}
	}
}

// changedRoutes returns the routes of the old version whose flows may have
// another default server in the current version, or none.
func changedRoutes(old, current *tables.Snapshot) map[tables.RouteID]struct{} {
	changed := make(map[tables.RouteID]struct{})
	if old == nil {
		return changed
	}
	for _, r := range old.Routes() {
		route, ok := current.RouteByID(r.ID)
		if !ok || route.Pool != r.Pool || !samePool(old, current, r.Pool) {
			changed[r.ID] = struct{}{}
		}
	}
	return changed
}

// samePool reports whether the named pool gives every flow the same default
// server in both versions.
func samePool(old, current *tables.Snapshot, name string) bool {
	a, okA := old.Pool(name)
	b, okB := current.Pool(name)
	if !okA || !okB || len(a.Servers) != len(b.Servers) {
		return okA == okB && !okA
	}
	for i := range a.Servers {
		x, y := &a.Servers[i], &b.Servers[i]
		if x.ID != y.ID || x.Weight != y.Weight || x.State != y.State {
			return false
		}
	}
	return true
}

// MovedFlows returns the flows whose slots other members own now, by owner.
func (e *Engine) MovedFlows() map[member.Name]exception.Transfer {
	view := e.view.Load()
	moved := make(map[member.Name]exception.Transfer)
	e.eachFlow(func(_ *flow.Shard, f *flow.Flow) {
		to := view.Map.OwnerName(f.Slot())
		if to == "" || to == view.Self || f.State() == flow.TCPClosing {
			return
		}
		t := moved[to]
		if f.Has(flow.Deviated) {
			t.Exceptions = append(t.Exceptions, entryOf(f))
		} else {
			t.OnDefault = append(t.OnDefault, entryOf(f))
		}
		moved[to] = t
	})
	return moved
}

// DropUnownedFlows removes the flows whose slots other members own. It must not
// be called until PredecessorPeriod after the last change of the members,
// because the new owners ask this daemon about these flows until then.
func (e *Engine) DropUnownedFlows(now time.Time) {
	view := e.view.Load()
	if !view.Eligible {
		return
	}
	e.eachFlow(func(shard *flow.Shard, f *flow.Flow) {
		if !view.owns(f.Slot()) {
			e.release(f, now)
			shard.Close(f)
		}
	})
}

// Age removes expired flows and reports silent ones. It examines up to limit
// flows and continues with the next ones at the next call.
func (e *Engine) Age(now time.Time, limit int) {
	e.flows.Expire(now, limit, func(_ *flow.Shard, f *flow.Flow, a flow.AgeEvent) {
		switch a {
		case flow.Expired:
			e.release(f, now)
			e.metrics.Count(metrics.FlowsExpired, 1)
		case flow.Silent:
			e.reportSilent(f, now)
		}
	})
}

// reportSilent logs and counts a flow whose caller sends without getting a
// response. The flow is reset only if its server is removed or ejected, because
// otherwise it may still continue.
func (e *Engine) reportSilent(f *flow.Flow, now time.Time) {
	e.metrics.Count(metrics.SilentFlows, 1)
	e.log.Log(events.SilentFlow,
		zap.Uint32("route_id", uint32(f.Route())),
		zap.Uint32("server_id", uint32(f.Server())),
		zap.Stringer("caller", f.Caller()))
	t := e.tables.Load()
	_, listed := t.ServerByID(f.Server())
	if !listed || e.policy.Ejected(f.Server(), now) {
		f.Set(flow.ResetPending)
	}
}

// PauseIdle pauses every flow that its server is not working on, so that it no
// longer counts as load of the server.
func (e *Engine) PauseIdle(now time.Time) {
	e.eachFlow(func(_ *flow.Shard, f *flow.Flow) { e.pauseIfIdle(f, now) })
}

// SlotsOwned returns how many slots this daemon owns.
func (e *Engine) SlotsOwned() int {
	view := e.view.Load()
	return view.Map.Count(view.Self)
}

// Owner returns the member that owns a slot, or "".
func (e *Engine) Owner(slot uint32) member.Name {
	return e.view.Load().Map.OwnerName(slot % owner.Slots)
}
