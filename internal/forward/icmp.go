package forward

import (
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// classifyError determines the direction, caller and slot of the flow that an
// ICMP error is about. The embedded packet is one that this system delivered: a
// response to a caller, whose source is a service address, or a request to a
// backend server.
func (e *Engine) classifyError(j *job) (metrics.Reason, bool) {
	service := tables.Address{AddrPort: j.info.Src, Protocol: j.info.Protocol}
	switch {
	case j.tables.isService(service):
		j.caller = j.info.Dst
	case j.tables.isEndpoint(j.info.Dst):
		j.caller, j.response = j.info.Src, true
	default:
		return metrics.ICMPUnknownFlow, false
	}
	j.slot = owner.Slot(j.info.Protocol, j.caller)
	return "", true
}

// deliverError sends an ICMP error about a known flow to the endpoint that sent
// the embedded packet. The flow's shard is locked.
func (e *Engine) deliverError(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	if j.response {
		return e.deliverErrorToCaller(j, shard)
	}
	service := tables.Address{AddrPort: j.info.Src, Protocol: j.info.Protocol}
	f := shard.Forward(j.caller, service)
	if f == nil {
		return metrics.ICMPUnknownFlow, false
	}
	endpoint := f.Endpoint()
	packet.RewriteICMPError(j.in.Inner, &j.info, endpoint.Addr(), endpoint)
	return e.deliver(j)
}

// deliverErrorToCaller sends the caller an ICMP error about a request that this
// system delivered to a backend server. The flow's shard is locked.
func (e *Engine) deliverErrorToCaller(j *job, shard *flow.Shard) (metrics.Reason, bool) {
	f := shard.Reverse(j.caller, j.info.Protocol, j.info.Dst)
	if f == nil {
		return metrics.ICMPUnknownFlow, false
	}
	if !f.Has(flow.Confirmed) {
		e.policy.Failed(f.Server(), j.now)
	}
	packet.RewriteICMPErrorDestination(j.in.Inner, &j.info, f.Address().AddrPort)
	return e.deliver(j)
}
