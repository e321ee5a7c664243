package forward

import (
	"net/netip"
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

// unknownRequest handles a packet of a flow without state: it may be known as
// an exception, to a predecessor, or to nobody.
func (e *Engine) unknownRequest(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	fp := flow.Fingerprint(j.caller, j.address())
	known := knownFlow{address: j.address(), confirmed: true}
	if held, ok := e.held.Lookup(fp); ok {
		known.route, known.server = held.Route, held.Server
		if f, ok := e.resume(j, shard, known); ok {
			return e.toServer(j, f)
		}
	}
	route, ok := j.tables.RouteFor(j.address())
	if j.in.Hop.Kind == carrier.HopKnown && e.mayHaveBeenAsked(j) {
		known.confirmed, known.server = j.in.Hop.Confirmed, tables.ServerID(j.in.Hop.Server)
		if ok {
			known.route = route.ID
		}
		if f, ok := e.resume(j, shard, known); ok {
			return e.toServer(j, f)
		}
	}
	if to, ok := e.predecessor(j); ok {
		return e.pass(j, to, carrier.HopPredecessor)
	}
	if !ok {
		return metrics.NoRoute, false
	}
	pool, ok := j.tables.Pool(route.Pool)
	if !ok {
		return metrics.NoUsableServer, false
	}
	if e.established(j) {
		return e.adoptRequest(j, shard, fp, route, pool)
	}
	return e.open(j, shard, fp, route, pool)
}

// established reports whether a packet of an unknown flow belongs to one that
// was opened before: a TCP segment without SYN, or a QUIC packet with a short
// header (RFC 8999) while the slot's flows may be unknown here. A UDP packet
// that only looks like QUIC is put on its default server, which is also what
// it gets as a new flow.
func (e *Engine) established(j *job) bool {
	if j.info.Protocol == tables.TCP {
		return !j.info.IsSYN()
	}
	return j.view.settling(j.slot, j.now) && shortHeader(j.payload())
}

// Bits of the first byte of a QUIC packet (RFC 8999 and RFC 9000).
const (
	quicLongForm = 0x80
	quicFixedBit = 0x40
)

// shortHeader reports whether a UDP payload starts like a QUIC packet with a
// short header, which only established connections send.
func shortHeader(payload []byte) bool {
	return len(payload) > 0 && payload[0]&(quicLongForm|quicFixedBit) == quicFixedBit
}

// longHeader reports whether a UDP payload starts like a QUIC packet with a
// long header, which connections send only while they open.
func longHeader(payload []byte) bool {
	return len(payload) > 0 && payload[0]&(quicLongForm|quicFixedBit) == quicLongForm|quicFixedBit
}

// mayBeEstablished reports whether the packet of an unknown UDP flow may belong
// to one that was opened at another owner. Such a flow takes its default server.
func (j *job) mayBeEstablished() bool {
	return j.info.Protocol == tables.UDP && !longHeader(j.payload()) && j.view.settling(j.slot, j.now)
}

// predecessor returns the member to ask about an unknown flow first.
func (e *Engine) predecessor(j *job) (netip.AddrPort, bool) {
	if j.asked || j.in.Hop.Kind == carrier.HopPredecessor || j.in.Hop.Count+1 > MaxHops {
		return netip.AddrPort{}, false
	}
	return j.view.predecessor(j.slot, j.now)
}

// mayHaveBeenAsked reports whether this daemon asks predecessors about the slot
// at this time. The source of a UDP packet can be forged, so an answer to a
// question that was never asked is ignored.
func (e *Engine) mayHaveBeenAsked(j *job) bool {
	_, ok := j.view.predecessor(j.slot, j.now)
	return ok
}

// knownFlow is what another daemon has told about a flow.
type knownFlow struct {
	address   tables.Address
	route     tables.RouteID
	server    tables.ServerID
	confirmed bool
}

// resume continues a flow that another owner has opened.
func (e *Engine) resume(j *job, shard *flow.Shard, known knownFlow) (*flow.Flow, bool) {
	endpoint, ok := j.tables.endpoint(known.server)
	if !ok || endpoint.Addr().Is4() != j.caller.Addr().Is4() {
		return nil, false
	}
	opening := flow.Opening{
		Slot: j.slot, Caller: j.caller, Address: known.address, Route: known.route,
		Server: known.server, Endpoint: endpoint, State: resumedState(j.info.Protocol),
		Flags: flow.Adopted | flow.PayloadSent, Now: j.now,
	}
	if known.confirmed {
		opening.Flags |= flow.Confirmed
	}
	f, err := shard.Open(opening)
	if err != nil {
		return nil, false
	}
	e.held.Remove(f.Fingerprint())
	e.metrics.Count(metrics.FlowsAdopted, 1)
	e.start(f, j.now)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
	return f, true
}

func resumedState(p tables.Protocol) flow.State {
	if p == tables.TCP {
		return flow.TCPEstablished
	}
	return flow.UDPAnswered
}

// adoptRequest takes over an established flow that nobody knows, on the server
// that was its default. The flow stays unconfirmed until that server responds.
func (e *Engine) adoptRequest(j *job, shard *flow.Shard, fp uint64, route *tables.Route, pool *tables.Pool) (metrics.Reason, bool) {
	server, ok := j.tables.defaultServer(fp, route, pool, 0)
	if !ok {
		return metrics.NoUsableServer, false
	}
	f, err := shard.Open(flow.Opening{
		Slot: j.slot, Caller: j.caller, Address: j.address(), Route: route.ID,
		Server: server.ID, Endpoint: server.Endpoint, State: resumedState(j.info.Protocol),
		Flags: flow.Adopted, Now: j.now,
	})
	if err != nil {
		return openRefusal(err), false
	}
	e.metrics.Count(metrics.FlowsAdopted, 1)
	e.start(f, j.now)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
	return e.toServer(j, f)
}

// open starts a flow on the server that the policy chooses, or refuses it.
func (e *Engine) open(j *job, shard *flow.Shard, fp uint64, route *tables.Route, pool *tables.Pool) (metrics.Reason, bool) {
	if !e.newFlows.AllowN(j.now, 1) {
		return metrics.NewFlowRate, false
	}
	settling := j.mayBeEstablished()
	affordable := e.own.Affordable(j.now)
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
	f, err := shard.Open(flow.Opening{
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
	route, ok := j.tables.RouteFor(f.Address())
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
