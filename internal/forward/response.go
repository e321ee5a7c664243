package forward

import (
	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// response handles a packet from a backend server. The flow's shard is locked.
func (e *Engine) response(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	f := shard.Reverse(j.caller, j.info.Protocol, j.info.Src)
	if f == nil {
		return e.unknownResponse(j, shard)
	}
	if j.info.TCPFlags&packet.FlagRST != 0 && f.Has(flow.Adopted) && !f.Has(flow.Confirmed) {
		// The server only says that it does not know the flow; the flow may be
		// alive on another one.
		e.tryEarlierDefault(j, shard, f)
		return metrics.ResetUnconfirmed, false
	}
	return e.toCaller(j, f)
}

// tryEarlierDefault moves an adopted flow that its server does not know to the
// default server of an earlier version of the tables. The caller's
// retransmission reaches it there.
func (e *Engine) tryEarlierDefault(j *job, shard *flow.Shard, f *flow.Flow) {
	// Without another default server, all servers are asked.
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

func (e *Engine) toCaller(j *job, f *flow.Flow) (metrics.Reason, bool) {
	e.observe(f, flow.FromServer, j)
	packet.RewriteSource(j.in.Inner, &j.info, f.Address().AddrPort)
	return e.deliver(j)
}

// unknownResponse handles a response of a flow without state. The response is
// evidence that the flow is on this server.
func (e *Engine) unknownResponse(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	if held := e.heldResponse(j); held != nil {
		known := knownFlow{address: held.address, route: held.entry.Route, server: held.entry.Server, confirmed: true}
		if f, ok := e.resume(j, shard, known); ok {
			return e.toCaller(j, f)
		}
	}
	if to, ok := e.predecessor(j); ok {
		return e.pass(j, to, carrier.HopPredecessor)
	}
	if j.info.TCPFlags&packet.FlagRST != 0 {
		return metrics.AnswerUnknown, false
	}
	server, routes := j.tables.serverAt(j.info.Src, j.info.Protocol)
	if len(routes) != 1 {
		// With several routes, the caller's next packet must tell which one
		// the flow uses.
		return metrics.AnswerUnknown, false
	}
	return e.adoptResponse(j, shard, routes[0], server)
}

// adoptResponse continues a flow on the server that responds, unless the flow
// is confirmed on another server.
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
		return e.toCaller(j, f)
	}
	if !f.Has(flow.Adopted) || f.Has(flow.Confirmed) {
		return metrics.AnswerUnknown, false
	}
	if !e.rebind(shard, f, server, j.now) {
		return metrics.ReverseConflict, false
	}
	f.Set(flow.PayloadSent)
	e.setDeviation(f, !e.onDefault(f, j.tables), j.now)
	return e.toCaller(j, f)
}

type heldFlow struct {
	entry   exception.Entry
	address tables.Address
}

// heldResponse finds the exception of the flow that a response belongs to. The
// route is not in the packet, so every route of the server is tried.
func (e *Engine) heldResponse(j *job) *heldFlow {
	server, routes := j.tables.serverAt(j.info.Src, j.info.Protocol)
	for _, r := range routes {
		held, ok := e.held.Lookup(flow.Fingerprint(j.caller, r.Address))
		if ok && held.Server == server.ID {
			return &heldFlow{entry: held, address: r.Address}
		}
	}
	return nil
}
