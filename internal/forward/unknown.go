package forward

import (
	"net/netip"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
)

// unknownRequest handles a packet of a flow without state: it may be known as
// an exception, to a predecessor, or to nobody.
func (e *Engine) unknownRequest(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	fp := flow.Fingerprint(j.caller, j.address())
	if f, ok := e.recall(j, shard, fp); ok {
		return e.toServer(j, f)
	}
	if to, ok := e.predecessor(j); ok {
		return e.pass(j, to, carrier.HopPredecessor)
	}
	route, ok := j.tables.RouteByAddress(j.address())
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

// recall continues a flow that an exception kept here, or the answer of a
// predecessor, tells about.
func (e *Engine) recall(j *job, shard *flow.Shard, fp uint64) (*flow.Flow, bool) {
	if held, ok := e.held.Lookup(fp); ok {
		known := knownFlow{address: j.address(), route: held.Route, server: held.Server, confirmed: true}
		if f, ok := e.resume(j, shard, known); ok {
			return f, true
		}
	}
	if j.in.Hop.Kind != carrier.HopKnown || !e.mayHaveBeenAsked(j) {
		return nil, false
	}
	known := knownFlow{address: j.address(), server: tables.ServerID(j.in.Hop.Server), confirmed: j.in.Hop.Confirmed}
	if route, ok := j.tables.RouteByAddress(j.address()); ok {
		known.route = route.ID
	}
	return e.resume(j, shard, known)
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
	opening := flow.OpenParams{
		Address: known.address, Route: known.route,
		Server: known.server, Endpoint: endpoint, Flags: flow.PayloadSent,
	}
	if known.confirmed {
		opening.Flags |= flow.Confirmed
	}
	f, err := e.adopt(j, shard, opening)
	if err != nil {
		return nil, false
	}
	e.held.Remove(f.Fingerprint())
	return f, true
}

// adopt adds a flow that did not open here. The opening names address, route,
// server and flags.
func (e *Engine) adopt(j *job, shard *flow.Shard, o flow.OpenParams) (*flow.Flow, error) {
	o.Slot, o.Caller, o.Now = j.slot, j.caller, j.now
	o.State = resumedState(j.info.Protocol)
	o.Flags |= flow.Adopted
	f, err := shard.Open(o)
	if err != nil {
		return nil, err
	}
	e.metrics.Count(metrics.FlowsAdopted, 1)
	e.start(f, j.now)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
	return f, nil
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
	f, err := e.adopt(j, shard, flow.OpenParams{
		Address: j.address(), Route: route.ID, Server: server.ID, Endpoint: server.Endpoint,
	})
	if err != nil {
		return openRefusal(err), false
	}
	return e.toServer(j, f)
}
