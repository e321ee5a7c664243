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

// request handles a packet from the caller. The flow's shard is locked.
func (e *Engine) request(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	f := shard.Forward(j.caller, j.address())
	if f != nil && f.Reopens(&j.info) {
		e.close(shard, f, j)
		f = nil
	}
	if f == nil {
		return e.unknownRequest(j, shard)
	}
	if f.Has(flow.ResetPending) {
		reason, ok := e.refuse(j, metrics.SilentFlow, false)
		e.close(shard, f, j)
		return reason, ok
	}
	if unheard(f, j) {
		e.tryEarlierDefault(j, shard, f)
	}
	if e.shouldMove(f, j) {
		e.move(f, j, shard)
	}
	return e.toServer(j, f)
}

// unheard reports whether an adopted UDP flow may be on the wrong server: a
// QUIC server drops packets of a connection that it does not know.
func unheard(f *flow.Flow, j *job) bool {
	return j.info.Protocol == tables.UDP && f.Has(flow.Adopted) && !f.Has(flow.Confirmed) &&
		f.SinceServer(j.now) >= MoveDelay
}

func (e *Engine) toServer(j *job, f *flow.Flow) (metrics.Reason, bool) {
	if unproven(f) {
		return e.probe(j, f)
	}
	e.observe(f, flow.FromCaller, j)
	packet.RewriteDestination(j.in.Inner, &j.info, f.Endpoint())
	return e.deliver(j)
}

// open starts a flow on the server that the policy chooses, or refuses it.
func (e *Engine) open(j *job, shard *flow.Shard, fp uint64, route *tables.Route, pool *tables.Pool) (metrics.Reason, bool) {
	if !e.newFlows.AllowN(j.now, 1) {
		return metrics.NewFlowRate, false
	}
	settling := j.mayBeEstablished()
	affordable := e.own.HasBudget(j.now)
	if !affordable {
		e.metrics.Refused(metrics.ExceptionBudget)
	}
	choice, err := e.policy.Choose(selection.Request{
		Key: fp, Pool: pool, Now: j.now,
		DefaultOnly: settling || !affordable,
		Avoid:       func(s *tables.Server) bool { return e.conflicts(j, shard, s) },
	})
	if err != nil {
		return e.refuse(j, refusalOf(err), settling)
	}
	f, err := shard.Open(flow.OpenParams{
		Slot: j.slot, Caller: j.caller, Address: j.address(), Route: route.ID,
		Server: choice.Server.ID, Endpoint: choice.Server.Endpoint,
		State: openingState(j.info.Protocol), Now: j.now,
	})
	if err != nil {
		return e.refuse(j, openRefusal(err), settling)
	}
	e.metrics.Count(metrics.FlowsOpened, 1)
	e.start(f, j.now)
	if !choice.Default {
		e.metrics.Count(metrics.FlowsDeviated, 1)
		e.setDeviation(f, true, j.now)
	}
	return e.toServer(j, f)
}

func openingState(p tables.Protocol) flow.State {
	if p == tables.TCP {
		return flow.TCPOpening
	}
	return flow.UDPUnanswered
}

// conflicts reports whether this caller already has a flow to the server, so
// that the responses of two flows would look alike.
func (e *Engine) conflicts(j *job, shard *flow.Shard, s *tables.Server) bool {
	return shard.Reverse(j.caller, j.info.Protocol, s.Endpoint) != nil
}

func openRefusal(err error) metrics.Reason {
	switch {
	case errors.Is(err, flow.ErrFull):
		return metrics.FlowTableFull
	case errors.Is(err, flow.ErrReverseConflict):
		return metrics.ReverseConflict
	}
	return metrics.Malformed
}

// refuse tells the caller that its flow was not opened. It stays silent when
// the packet may belong to an established flow, whose earlier packets may have
// reached a server.
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

// shouldMove reports whether an opening flow may go to another server: its
// server has not responded to an earlier SYN and has been sent no payload.
func (e *Engine) shouldMove(f *flow.Flow, j *job) bool {
	return j.info.IsSYN() && f.State() == flow.TCPOpening &&
		!f.Has(flow.PayloadSent) && !f.Has(flow.Confirmed) &&
		j.now.Sub(f.Opened()) >= MoveDelay
}

// move gives an opening flow another server. If there is none, the flow stays.
func (e *Engine) move(f *flow.Flow, j *job, shard *flow.Shard) {
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

// rebind moves a flow to another server, if the caller has no other flow there.
func (e *Engine) rebind(shard *flow.Shard, f *flow.Flow, to *tables.Server, now time.Time) bool {
	old, paused := f.Server(), f.Has(flow.Paused)
	if shard.Rebind(f, to.ID, to.Endpoint) != nil {
		return false
	}
	if paused {
		e.policy.Resumed(old, now)
	}
	e.policy.Closed(old, f.Opened(), now)
	e.start(f, now)
	return true
}
