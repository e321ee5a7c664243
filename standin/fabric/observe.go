package fabric

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/standin/fabric/inet"
)

// sent records a packet that a host gave to the balancer via.
func (l *Ledger) sent(p *inet.Packet, via netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.IsICMP() {
		l.sentICMP(p)
		return
	}
	_, response := l.servers[p.Src]
	record := l.remember(identity(p, response))
	record.sent++
	record.via = via
	if response {
		record.server = p.Src
		record.flow = FlowKey{Protocol: p.Protocol, Caller: p.Dst}
		return
	}
	record.flow = FlowKey{Protocol: p.Protocol, Caller: p.Src, Service: p.Dst}
	flow := l.flow(record.flow)
	flow.requests++
	flow.balancers[via] = true
}

// sentICMP notes that a server itself told the caller that its port is closed.
func (l *Ledger) sentICMP(p *inet.Packet) {
	if u := p.Unreachable; u != nil {
		if _, ok := l.servers[u.Dst]; ok {
			l.closedPort[address{u.Protocol, u.Src}] = true
		}
	}
}

// delivered checks a packet that is about to reach a host and reports whether
// another balancer than the one that got it from the fabric sent it.
func (l *Ledger) delivered(p *inet.Packet, from netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.IsICMP() {
		l.deliveredICMP(p)
		return false
	}
	record := l.find(identity(p, false))
	if _, toServer := l.servers[p.Dst]; toServer || record != nil {
		l.deliveredRequest(p, record)
	} else {
		record = l.find(identity(p, true))
		l.deliveredResponse(p, record)
	}
	return record != nil && from.IsValid() && record.via != from
}

func (l *Ledger) deliveredRequest(p *inet.Packet, record *sentPacket) {
	if record == nil {
		// Balancers may end a flow with a reset of their own, and ask with a
		// keepalive segment whether a server knows a flow. Neither carries
		// payload.
		if !bareReset(p) && !keepalive(p) {
			l.violate(AlteredRequest, FlowKey{p.Protocol, p.Src, p.Dst}, "packet at server %s was never sent", p.Dst)
		}
		return
	}
	record.delivered++
	if record.delivered > record.sent {
		l.violate(DuplicateRequest, record.flow, "sent %d times, delivered %d times, last to %s",
			record.sent, record.delivered, p.Dst)
	}
	want, got := l.services[address{p.Protocol, record.flow.Service}], l.servers[p.Dst]
	if want != got || got == "" {
		l.violate(WrongService, record.flow, "packet for pool %q reached %s of pool %q", want, p.Dst, got)
	}
	l.countAtServer(p, record.flow)
}

func (l *Ledger) countAtServer(p *inet.Packet, key FlowKey) {
	flow := l.flow(key)
	s, ok := flow.servers[p.Dst]
	if !ok {
		s = &ServerPackets{}
		flow.servers[p.Dst] = s
	}
	s.Packets++
	if len(p.Payload) == 0 {
		return
	}
	s.Payload++
	if s.Payload > 1 {
		return
	}
	if flow.withData++; flow.withData > 1 {
		l.violate(SecondServer, key, "payload reached %d servers, last %s", flow.withData, p.Dst)
	}
}

func (l *Ledger) deliveredResponse(p *inet.Packet, record *sentPacket) {
	key := FlowKey{p.Protocol, p.Dst, p.Src}
	flow, known := l.flows[key]
	if !known {
		l.violate(WrongSource, key, "the caller sent nothing to %s", p.Src)
		return
	}
	if record == nil {
		if bareReset(p) {
			l.refused(key, flow)
		} else {
			l.violate(AlteredResponse, key, "packet at the caller was never sent")
		}
		return
	}
	flow.responses++
	record.delivered++
	if record.delivered > record.sent {
		l.violate(DuplicateResponse, key, "sent %d times, delivered %d times", record.sent, record.delivered)
	}
	want, got := l.services[address{p.Protocol, p.Src}], l.servers[record.server]
	if want != got {
		l.violate(WrongResponder, key, "response for pool %q came from %s of pool %q", want, record.server, got)
	}
}

func (l *Ledger) deliveredICMP(p *inet.Packet) {
	u := p.Unreachable
	if u == nil || u.Src.Addr() != p.Dst.Addr() {
		return
	}
	if pool, toServer := l.servers[u.Src]; toServer {
		if !l.reached(u.Protocol, u.Dst, u.Src, pool) {
			l.violate(WrongService, FlowKey{u.Protocol, u.Dst, u.Src}, "ICMP error at a server that the flow never reached")
		}
		return
	}
	key := FlowKey{u.Protocol, u.Src, u.Dst}
	flow, known := l.flows[key]
	switch {
	case !known:
		l.violate(WrongSource, key, "port unreachable for a flow that the caller did not open")
	case !l.closedPort[address{u.Protocol, u.Src}]:
		l.refused(key, flow)
	}
}

// reached reports whether a flow of the caller has reached the server through
// a service of its pool.
func (l *Ledger) reached(protocol inet.Protocol, caller, server netip.AddrPort, pool string) bool {
	for service, p := range l.services {
		if service.protocol != protocol || p != pool {
			continue
		}
		if flow, ok := l.flows[FlowKey{protocol, caller, service.at}]; ok && flow.servers[server] != nil {
			return true
		}
	}
	return false
}

// refused checks a refusal that a balancer made. Once the caller has received
// a response, it is the end of an open flow and no refusal.
func (l *Ledger) refused(key FlowKey, flow *flowRecord) {
	if flow.responses > 0 {
		return
	}
	flow.refused = true
	if flow.withData > 0 {
		l.violate(RefusedAfterDelivery, key, "payload had reached %d servers", flow.withData)
	}
}

func bareReset(p *inet.Packet) bool {
	return p.Protocol == inet.TCP && p.Flags.Has(inet.RST) && len(p.Payload) == 0
}

func keepalive(p *inet.Packet) bool {
	return p.Protocol == inet.TCP && p.Flags == inet.ACK && len(p.Payload) == 0
}

func (l *Ledger) remember(id uint64) *sentPacket {
	if r := l.find(id); r != nil {
		return r
	}
	if len(l.newer) >= identityGeneration {
		l.older, l.newer = l.newer, make(map[uint64]*sentPacket)
	}
	r := &sentPacket{}
	l.newer[id] = r
	return r
}

func (l *Ledger) find(id uint64) *sentPacket {
	if r, ok := l.newer[id]; ok {
		return r
	}
	return l.older[id]
}

// identity hashes what a balancer must not change: all of a packet but the
// address that it rewrites, the destination of a request or the source of a
// response.
func identity(p *inet.Packet, response bool) uint64 {
	caller, direction := p.Src, byte(0)
	if response {
		caller, direction = p.Dst, 1
	}
	h := xxhash.New()
	b := append(make([]byte, 0, 64), direction, byte(p.Protocol), byte(p.Flags))
	b = binary.BigEndian.AppendUint16(b, p.ID)
	b = binary.BigEndian.AppendUint32(b, p.Seq)
	b = binary.BigEndian.AppendUint32(b, p.Ack)
	b = append(b, caller.String()...)
	_, _ = h.Write(b) // a hash does not fail
	_, _ = h.Write(p.Payload)
	return h.Sum64()
}
