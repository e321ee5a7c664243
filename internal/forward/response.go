package forward

import (
	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// handleResponse handles a packet from a backend server. The flow's shard is
// locked.
func (e *Engine) handleResponse(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	f := shard.Reverse(j.caller, j.info.Protocol, j.info.Src)
	if f == nil {
		return e.handleUnknownResponse(j, shard)
	}
	if j.info.TCPFlags&packet.FlagRST != 0 && f.Has(flow.Adopted) && !f.Has(flow.Confirmed) {
		// The RST shows only that this server does not know the flow, which may
		// be established on another server.
		e.tryEarlierDefault(j, shard, f)
		return metrics.ResetUnconfirmed, false
	}
	return e.sendToCaller(j, f)
}

// tryEarlierDefault moves an adopted flow that its server does not know to its
// default server in an earlier version of the tables. The caller's
// retransmission then goes to that server.
func (e *Engine) tryEarlierDefault(j *job, shard *flow.Shard, f *flow.Flow) {
	// If there is no other default server, the flow stays marked, and all
	// servers are probed.
	f.Set(flow.Searching)
	route, pool, ok := j.tables.routeAndPool(f.Route())
	if !ok {
		return
	}
	server, ok := j.tables.defaultServer(f.Fingerprint(), route, pool, f.Server())
	if !ok || !e.rebind(shard, f, server, j.now) {
		return
	}
	f.Clear(flow.Searching)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
}

// sendToCaller delivers the server's packet to the flow's caller.
func (e *Engine) sendToCaller(j *job, f *flow.Flow) (metrics.Reason, bool) {
	e.observe(f, flow.FromServer, j)
	packet.RewriteSource(j.in.Inner, &j.info, f.Address().AddrPort)
	return e.deliver(j)
}

// handleUnknownResponse handles a response of a flow that has no entry in the
// flow table. Any response other than a RST shows that the flow is on this
// server.
func (e *Engine) handleUnknownResponse(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	if received := e.exceptionForResponse(j); received != nil {
		known := knownFlow{address: received.address, route: received.entry.Route, server: received.entry.Server, confirmed: true}
		if f, ok := e.resume(j, shard, known); ok {
			return e.sendToCaller(j, f)
		}
	}
	if to, ok := e.predecessorToAsk(j); ok {
		return e.forward(j, to, carrier.HopPredecessor)
	}
	if j.info.TCPFlags&packet.FlagRST != 0 {
		return metrics.AnswerUnknown, false
	}
	server, routes := j.tables.serverAt(j.info.Src, j.info.Protocol)
	if len(routes) != 1 {
		// With several routes, only the caller's next packet shows which one
		// the flow uses.
		return metrics.AnswerUnknown, false
	}
	return e.adoptResponse(j, shard, routes[0], server)
}

// adoptResponse adopts a flow on the server that responds, or moves an adopted
// flow there if its server is not confirmed yet.
func (e *Engine) adoptResponse(j *job, shard *flow.Shard, route *tables.Route, server *tables.Server) (metrics.Reason, bool) {
	f := shard.Forward(j.caller, route.Address)
	if f == nil {
		f, err := e.adopt(j, shard, flow.OpenParams{
			Address: route.Address, Route: route.ID, Server: server.ID, Endpoint: server.Endpoint,
			Flags: flow.PayloadSent,
		})
		if err != nil {
			return openRefusal(err), false
		}
		return e.sendToCaller(j, f)
	}
	if !f.Has(flow.Adopted) || f.Has(flow.Confirmed) {
		return metrics.AnswerUnknown, false
	}
	if !e.rebind(shard, f, server, j.now) {
		return metrics.ReverseConflict, false
	}
	f.Set(flow.PayloadSent)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
	return e.sendToCaller(j, f)
}

// receivedFlow is the exception of a flow together with its service address.
type receivedFlow struct {
	entry   exception.Entry
	address tables.Address
}

// exceptionForResponse returns the received exception of the flow that a
// response belongs to, or nil. The packet does not show the route, so every
// route of the server is tried.
func (e *Engine) exceptionForResponse(j *job) *receivedFlow {
	server, routes := j.tables.serverAt(j.info.Src, j.info.Protocol)
	for _, r := range routes {
		received, ok := e.received.Lookup(flow.Fingerprint(j.caller, r.Address))
		if ok && received.Server == server.ID {
			return &receivedFlow{entry: received, address: r.Address}
		}
	}
	return nil
}
