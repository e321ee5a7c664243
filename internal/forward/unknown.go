package forward

import (
	"net/netip"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
)

// handleUnknownRequest handles a request of a flow that has no entry in the
// flow table. An exception or a predecessor may know the flow; otherwise it is
// adopted if it is established, or else opened.
func (e *Engine) handleUnknownRequest(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	fp := flow.Fingerprint(j.caller, j.address())
	if f, ok := e.resumeKnown(j, shard, fp); ok {
		return e.sendToServer(j, f)
	}
	if to, ok := e.predecessorToAsk(j); ok {
		return e.forward(j, to, carrier.HopPredecessor)
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
	return e.openFlow(j, shard, fp, route, pool)
}

// resumeKnown resumes a flow whose server is known from a received exception or
// from the answer of a predecessor.
func (e *Engine) resumeKnown(j *job, shard *flow.Shard, fp uint64) (*flow.Flow, bool) {
	if entry, ok := e.received.Lookup(fp); ok {
		known := knownFlow{address: j.address(), route: entry.Route, server: entry.Server, confirmed: true}
		if f, ok := e.resume(j, shard, known); ok {
			return f, true
		}
	}
	if j.in.Hop.Kind != carrier.HopKnown || !e.asksPredecessors(j) {
		return nil, false
	}
	known := knownFlow{address: j.address(), server: tables.ServerID(j.in.Hop.Server), confirmed: j.in.Hop.Confirmed}
	if route, ok := j.tables.RouteByAddress(j.address()); ok {
		known.route = route.ID
	}
	return e.resume(j, shard, known)
}

// established reports whether a packet of an unknown flow belongs to an
// established one: a TCP segment without SYN or, while the slot is settling, a
// QUIC packet with a short header (RFC 8999). Another UDP packet that looks like
// one may open a flow instead; either way the flow gets its default server.
func (e *Engine) established(j *job) bool {
	if j.info.Protocol == tables.TCP {
		return !j.info.IsSYN()
	}
	return j.view.settling(j.slot, j.now) && shortHeader(j.payload())
}

// mayBeEstablished reports whether the packet of an unknown UDP flow may belong
// to a flow that was opened by another owner. Such a flow must use its default
// server.
func (j *job) mayBeEstablished() bool {
	return j.info.Protocol == tables.UDP && !longHeader(j.payload()) && j.view.settling(j.slot, j.now)
}

// predecessorToAsk returns the data address of the member to ask about an
// unknown flow, if one should be asked.
func (e *Engine) predecessorToAsk(j *job) (netip.AddrPort, bool) {
	if j.predecessorAnswered || j.in.Hop.Kind == carrier.HopPredecessor || j.in.Hop.Count+1 > MaxHops {
		return netip.AddrPort{}, false
	}
	return j.view.predecessor(j.slot, j.now)
}

// asksPredecessors reports whether this daemon currently asks a predecessor
// about the packet's slot. The source of a UDP packet can be forged, so answers
// to queries that this daemon cannot have sent are ignored.
func (e *Engine) asksPredecessors(j *job) bool {
	_, ok := j.view.predecessor(j.slot, j.now)
	return ok
}

// knownFlow holds what another daemon has reported about a flow.
type knownFlow struct {
	address   tables.Address
	route     tables.RouteID
	server    tables.ServerID
	confirmed bool
}

// resume adds a flow that another owner has opened, on its server. It fails if
// the server is unknown or has another IP version than the caller.
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
	e.received.Remove(f.Fingerprint())
	return f, true
}

// adopt adds a flow that was not opened here. The caller sets the address,
// route, server and flags of o.
func (e *Engine) adopt(j *job, shard *flow.Shard, o flow.OpenParams) (*flow.Flow, error) {
	o.Slot, o.Caller, o.Now = j.slot, j.caller, j.now
	o.State = resumedState(j.info.Protocol)
	o.Flags |= flow.Adopted
	f, err := shard.Open(o)
	if err != nil {
		return nil, err
	}
	e.metrics.Count(metrics.FlowsAdopted, 1)
	e.startLoad(f, j.now)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
	return f, nil
}

// resumedState returns the state of a flow that was opened by another owner.
func resumedState(p tables.Protocol) flow.State {
	if p == tables.TCP {
		return flow.TCPEstablished
	}
	return flow.UDPAnswered
}

// adoptRequest adopts an established flow that no daemon knows, on its default
// server. The flow stays unconfirmed until that server responds.
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
	return e.sendToServer(j, f)
}
