package forward

import (
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
)

// handleRequest handles a packet from the caller. The flow's shard is locked.
func (e *Engine) handleRequest(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	f := shard.Forward(j.caller, j.address())
	if f != nil && f.Reopens(&j.info) {
		e.closeFlow(shard, f, j)
		f = nil
	}
	if f == nil {
		return e.handleUnknownRequest(j, shard)
	}
	if f.Has(flow.ResetPending) {
		reason, ok := e.refuse(j, metrics.SilentFlow, false)
		e.closeFlow(shard, f, j)
		return reason, ok
	}
	if mayBeOnWrongServer(f, j) {
		e.tryEarlierDefault(j, shard, f)
	}
	if e.shouldMove(f, j) {
		e.moveToOtherServer(f, j, shard)
	}
	return e.sendToServer(j, f)
}

// mayBeOnWrongServer reports whether f is an adopted UDP flow whose server has
// not responded for MoveDelay. A QUIC server silently drops packets of a
// connection that it does not know.
func mayBeOnWrongServer(f *flow.Flow, j *job) bool {
	return j.info.Protocol == tables.UDP && f.Has(flow.Adopted) && !f.Has(flow.Confirmed) &&
		f.SinceServer(j.now) >= MoveDelay
}

// sendToServer delivers the caller's packet to the flow's server, or probes the
// server first.
func (e *Engine) sendToServer(j *job, f *flow.Flow) (metrics.Reason, bool) {
	if needsProbe(f) {
		return e.probe(j, f)
	}
	e.observe(f, flow.FromCaller, j)
	packet.RewriteDestination(j.in.Inner, &j.info, f.Endpoint())
	return e.deliver(j)
}

// openFlow opens a flow on the server that the policy chooses, or refuses it.
func (e *Engine) openFlow(j *job, shard *flow.Shard, fp uint64, route *tables.Route, pool *tables.Pool) (metrics.Reason, bool) {
	if !e.newFlowLimiter.AllowN(j.now, 1) {
		return metrics.NewFlowRate, false
	}
	mayBeEstablished := j.mayBeEstablished()
	withinBudget := e.local.HasBudget(j.now)
	if !withinBudget {
		e.metrics.Refused(metrics.ExceptionBudget)
	}
	choice, err := e.policy.Choose(selection.Request{
		Key: fp, Pool: pool, Now: j.now,
		DefaultOnly: mayBeEstablished || !withinBudget,
		Avoid:       func(s *tables.Server) bool { return e.conflicts(j, shard, s) },
	})
	if err != nil {
		return e.refuse(j, refusalOf(err), mayBeEstablished)
	}
	f, err := shard.Open(flow.OpenParams{
		Slot: j.slot, Caller: j.caller, Address: j.address(), Route: route.ID,
		Server: choice.Server.ID, Endpoint: choice.Server.Endpoint,
		State: openingState(j.info.Protocol), Now: j.now,
	})
	if err != nil {
		return e.refuse(j, openRefusal(err), mayBeEstablished)
	}
	e.metrics.Count(metrics.FlowsOpened, 1)
	e.startLoad(f, j.now)
	if !choice.Default {
		e.metrics.Count(metrics.FlowsDeviated, 1)
		e.setDeviation(f, true, j.now)
	}
	return e.sendToServer(j, f)
}

// openingState returns the state of a flow that is opened here.
func openingState(p tables.Protocol) flow.State {
	if p == tables.TCP {
		return flow.TCPOpening
	}
	return flow.UDPUnanswered
}

// conflicts reports whether this caller already has a flow to the server. The
// responses of a second flow could not be told from those of the first.
func (e *Engine) conflicts(j *job, shard *flow.Shard, s *tables.Server) bool {
	return shard.Reverse(j.caller, j.info.Protocol, s.Endpoint) != nil
}

// openRefusal returns the reason for an error of flow.Shard.Open.
func openRefusal(err error) metrics.Reason {
	switch {
	case errors.Is(err, flow.ErrFull):
		return metrics.FlowTableFull
	case errors.Is(err, flow.ErrReverseConflict):
		return metrics.ReverseConflict
	}
	return metrics.Malformed
}

// refuse tells the caller that its flow was not opened, with a RST or an ICMP
// port unreachable error. It sends nothing if the packet may belong to an
// established flow, because earlier packets of that flow may have reached a
// server.
func (e *Engine) refuse(j *job, reason metrics.Reason, mayBeEstablished bool) (metrics.Reason, bool) {
	if mayBeEstablished {
		return reason, false
	}
	start := len(j.out.built)
	if j.info.Protocol == tables.TCP {
		j.out.built = packet.AppendReset(j.out.built, j.in.Inner, &j.info)
	} else {
		j.out.built = packet.AppendPortUnreachable(j.out.built, j.in.Inner, &j.info)
	}
	if len(j.out.built) > start {
		j.out.send(j.out.built[start:len(j.out.built):len(j.out.built)], e.fabric(j), carrier.Hop{})
	}
	return reason, false
}

// shouldMove reports whether an opening flow should move to another server: its
// server has not responded to an earlier SYN and has received no payload.
func (e *Engine) shouldMove(f *flow.Flow, j *job) bool {
	return j.info.IsSYN() && f.State() == flow.TCPOpening &&
		!f.Has(flow.PayloadSent) && !f.Has(flow.Confirmed) &&
		j.now.Sub(f.Opened()) >= MoveDelay
}

// moveToOtherServer moves an opening flow to another server. If there is none,
// the flow stays.
func (e *Engine) moveToOtherServer(f *flow.Flow, j *job, shard *flow.Shard) {
	old := f.Server()
	e.policy.Failed(old, j.now)
	route, ok := j.tables.RouteByAddress(f.Address())
	if !ok {
		return
	}
	pool, ok := j.tables.Pool(route.Pool)
	if !ok {
		return
	}
	choice, err := e.policy.Choose(selection.Request{
		Key: f.Fingerprint(), Pool: pool, Now: j.now,
		Avoid: func(s *tables.Server) bool { return s.ID == old || e.conflicts(j, shard, s) },
	})
	if err != nil {
		return
	}
	if !e.rebind(shard, f, choice.Server, j.now) {
		return
	}
	e.metrics.Retried(metrics.ServerMoved)
	e.setDeviation(f, !choice.Default, j.now)
}

// rebind moves a flow and its load to another server. It reports false, and
// changes nothing, if the caller already has another flow there.
func (e *Engine) rebind(shard *flow.Shard, f *flow.Flow, to *tables.Server, now time.Time) bool {
	old, paused := f.Server(), f.Has(flow.Paused)
	if shard.Rebind(f, to.ID, to.Endpoint) != nil {
		return false
	}
	if paused {
		e.policy.Resumed(old, now)
	}
	e.policy.Closed(old, f.Opened(), now)
	e.startLoad(f, now)
	return true
}
