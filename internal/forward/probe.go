package forward

import (
	"net/netip"
	"slices"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// maxProbes is the maximum number of servers that are probed for one segment.
const maxProbes = 32

// needsProbe reports whether f is an adopted TCP flow whose server is only
// assumed. Such a server gets no payload until it has answered a probe, so that
// at most one server receives payload of the flow.
func needsProbe(f *flow.Flow) bool {
	return f.State() == flow.TCPEstablished && f.Has(flow.Adopted) && !f.Has(flow.Confirmed)
}

// probe asks the flow's assumed server whether it knows the flow or, if the
// flow is marked Searching, all servers of the route. The caller's segment is
// dropped; its retransmission goes to the server that answers.
func (e *Engine) probe(j *job, f *flow.Flow) (metrics.Reason, bool) {
	if !f.Has(flow.Searching) {
		e.sendProbe(j, f.Endpoint())
		return "", true
	}
	for _, s := range j.tables.allServers(f.Route()) {
		e.sendProbe(j, s.Endpoint)
	}
	return "", true
}

// sendProbe sends a probe for the packet's flow to one server.
func (e *Engine) sendProbe(j *job, to netip.AddrPort) {
	start := len(j.out.built)
	j.out.built = packet.AppendProbe(j.out.built, j.in.Inner, &j.info)
	b := j.out.built[start:len(j.out.built):len(j.out.built)]
	if len(b) == 0 {
		return
	}
	var info packet.Info
	if err := packet.Parse(b, &info); err != nil {
		e.metrics.Refused(refusalOf(err))
		return
	}
	packet.RewriteDestination(b, &info, to)
	e.metrics.Count(metrics.ProbesSent, 1)
	j.out.send(b, e.fabric(j), carrier.Hop{})
}

// allServers returns the servers that a flow of the route may be on, including
// those of earlier pools, but no more than maxProbes.
func (v *tableView) allServers(id tables.RouteID) []*tables.Server {
	_, pool, ok := v.routeAndPool(id)
	if !ok {
		return nil
	}
	var out []*tables.Server
	for _, p := range v.poolsOf(id, pool) {
		for i := range p.Servers {
			s := &p.Servers[i]
			known := slices.ContainsFunc(out, func(o *tables.Server) bool { return o.ID == s.ID })
			if !known && len(out) < maxProbes {
				out = append(out, s)
			}
		}
	}
	return out
}
