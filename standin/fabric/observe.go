package fabric

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/standin/fabric/inet"
)

// recordSent records a packet that a host sent through the given balancer. The
// address is the zero value for a packet that bypasses the balancers.
func (l *Ledger) recordSent(p *inet.Packet, balancer netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.IsICMP() {
		l.recordSentICMP(p)
		return
	}
	_, response := l.servers[p.Src]
	record := l.getOrAddPacket(packetIdentity(p, response))
	record.sent++
	record.balancer = balancer
	if response {
		record.server = p.Src
		record.flow = FlowKey{Protocol: p.Protocol, Caller: p.Dst}
		return
	}
	record.flow = FlowKey{Protocol: p.Protocol, Caller: p.Src, Service: p.Dst}
	flow := l.getOrAddFlow(record.flow)
	flow.requests++
	flow.balancers[balancer] = true
}

// recordSentICMP records that a server reported a closed port to a caller. When
// that message is delivered, it does not count as a refusal by a balancer.
func (l *Ledger) recordSentICMP(p *inet.Packet) {
	if u := p.Unreachable; u != nil {
		if _, ok := l.servers[u.Dst]; ok {
			l.closedPortCallers[transportAddr{u.Protocol, u.Src}] = true
		}
	}
}

// checkDelivered checks a packet that is about to be delivered to a host. It
// reports whether the packet made a second hop, which means that it was sent by a
// different balancer than the one that received it from the fabric.
func (l *Ledger) checkDelivered(p *inet.Packet, from netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.IsICMP() {
		l.checkDeliveredICMP(p)
		return false
	}
	record := l.findPacket(packetIdentity(p, false))
	if _, toServer := l.servers[p.Dst]; toServer || record != nil {
		l.checkDeliveredRequest(p, record)
	} else {
		record = l.findPacket(packetIdentity(p, true))
		l.checkDeliveredResponse(p, record)
	}
	return record != nil && from.IsValid() && record.balancer != from
}

func (l *Ledger) checkDeliveredRequest(p *inet.Packet, record *sentPacket) {
	if record == nil {
		// Balancers may reset a flow themselves, and may send a keepalive segment
		// to find out whether a server knows a flow. Neither carries payload.
		if !isBareReset(p) && !isKeepalive(p) {
			l.addViolation(AlteredRequest, FlowKey{p.Protocol, p.Src, p.Dst}, "packet at server %s was never sent", p.Dst)
		}
		return
	}
	record.delivered++
	if record.delivered > record.sent {
		l.addViolation(DuplicateRequest, record.flow, "sent %d times, delivered %d times, last to %s",
			record.sent, record.delivered, p.Dst)
	}
	want, got := l.services[transportAddr{p.Protocol, record.flow.Service}], l.servers[p.Dst]
	if want != got || got == "" {
		l.addViolation(WrongService, record.flow, "packet for pool %q reached %s of pool %q", want, p.Dst, got)
	}
	l.recordAtServer(p, record.flow)
}

// recordAtServer counts a request packet that was delivered to a server.
func (l *Ledger) recordAtServer(p *inet.Packet, key FlowKey) {
	flow := l.getOrAddFlow(key)
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
	if flow.payloadServers++; flow.payloadServers > 1 {
		l.addViolation(SecondServer, key, "payload reached %d servers, last %s", flow.payloadServers, p.Dst)
	}
}

func (l *Ledger) checkDeliveredResponse(p *inet.Packet, record *sentPacket) {
	key := FlowKey{p.Protocol, p.Dst, p.Src}
	flow, known := l.flows[key]
	if !known {
		l.addViolation(WrongSource, key, "the caller sent nothing to %s", p.Src)
		return
	}
	if record == nil {
		if isBareReset(p) {
			l.recordRefusal(key, flow)
		} else {
			l.addViolation(AlteredResponse, key, "packet at the caller was never sent")
		}
		return
	}
	flow.responses++
	record.delivered++
	if record.delivered > record.sent {
		l.addViolation(DuplicateResponse, key, "sent %d times, delivered %d times", record.sent, record.delivered)
	}
	want, got := l.services[transportAddr{p.Protocol, p.Src}], l.servers[record.server]
	if want != got {
		l.addViolation(WrongResponder, key, "response for pool %q came from %s of pool %q", want, record.server, got)
	}
}

func (l *Ledger) checkDeliveredICMP(p *inet.Packet) {
	u := p.Unreachable
	if u == nil || u.Src.Addr() != p.Dst.Addr() {
		return
	}
	if pool, toServer := l.servers[u.Src]; toServer {
		if !l.hasReached(u.Protocol, u.Dst, u.Src, pool) {
			l.addViolation(WrongService, FlowKey{u.Protocol, u.Dst, u.Src}, "ICMP error at a server that the flow never reached")
		}
		return
	}
	key := FlowKey{u.Protocol, u.Src, u.Dst}
	flow, known := l.flows[key]
	switch {
	case !known:
		l.addViolation(WrongSource, key, "port unreachable for a flow that the caller did not open")
	case !l.closedPortCallers[transportAddr{u.Protocol, u.Src}]:
		l.recordRefusal(key, flow)
	}
}

// hasReached reports whether a packet of the caller has reached the server
// through a service of the server's pool.
func (l *Ledger) hasReached(protocol inet.Protocol, caller, server netip.AddrPort, pool string) bool {
	for service, p := range l.services {
		if service.protocol != protocol || p != pool {
			continue
		}
		if flow, ok := l.flows[FlowKey{protocol, caller, service.addr}]; ok && flow.servers[server] != nil {
			return true
		}
	}
	return false
}

// recordRefusal records that a balancer refused a flow. After the first response
// to the caller, a reset or ICMP error ends an open flow and is not a refusal.
func (l *Ledger) recordRefusal(key FlowKey, flow *flowRecord) {
	if flow.responses > 0 {
		return
	}
	flow.refused = true
	if flow.payloadServers > 0 {
		l.addViolation(RefusedAfterDelivery, key, "payload had reached %d servers", flow.payloadServers)
	}
}

// isBareReset reports whether p is a TCP reset without payload.
func isBareReset(p *inet.Packet) bool {
	return p.Protocol == inet.TCP && p.Flags.Has(inet.RST) && len(p.Payload) == 0
}

// isKeepalive reports whether p can be a TCP keepalive segment.
func isKeepalive(p *inet.Packet) bool {
	return p.Protocol == inet.TCP && p.Flags == inet.ACK && len(p.Payload) == 0
}

// getOrAddPacket returns the record of the packet with this identity and adds it
// if there is none. A full current generation replaces the previous one.
func (l *Ledger) getOrAddPacket(id uint64) *sentPacket {
	if r := l.findPacket(id); r != nil {
		return r
	}
	if len(l.currentPackets) >= maxPacketsPerGeneration {
		l.previousPackets, l.currentPackets = l.currentPackets, make(map[uint64]*sentPacket)
	}
	r := &sentPacket{}
	l.currentPackets[id] = r
	return r
}

func (l *Ledger) findPacket(id uint64) *sentPacket {
	if r, ok := l.currentPackets[id]; ok {
		return r
	}
	return l.previousPackets[id]
}

// packetIdentity hashes the parts of a packet that a balancer must not change:
// everything except the address that it rewrites, which is the destination of a
// request or the source of a response.
func packetIdentity(p *inet.Packet, response bool) uint64 {
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
	_, _ = h.Write(b) // a Digest never returns an error
	_, _ = h.Write(p.Payload)
	return h.Sum64()
}
