package host

import (
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

func (h *Host) deliverTCP(p *inet.Packet) {
	key := tcpKey{local: p.Dst.Port(), remote: p.Src}
	h.mu.Lock()
	c, known := h.tcp[key]
	l := h.listeners[p.Dst.Port()]
	h.mu.Unlock()
	switch {
	case known:
		c.receive(p)
	case l != nil && p.Flags&(inet.SYN|inet.ACK|inet.RST) == inet.SYN && l.accepting():
		l.open(key, p)
	default:
		h.unknown.Add(1)
		h.resetUnknown(p)
	}
}

// resetUnknown answers a segment of an unknown connection (RFC 9293, 3.10.7.1).
func (h *Host) resetUnknown(p *inet.Packet) {
	if p.Flags.Has(inet.RST) {
		return
	}
	reply := &inet.Packet{Protocol: inet.TCP, Src: p.Dst, Dst: p.Src, Flags: inet.RST}
	if p.Flags.Has(inet.ACK) {
		reply.Seq = p.Ack
	} else {
		reply.Flags |= inet.ACK
		reply.Ack = p.Seq + uint32(len(p.Payload)) + control(p)
	}
	_ = h.send(reply) // a reset that cannot be sent is a lost reset
}

// control returns how many sequence numbers SYN and FIN take.
func control(p *inet.Packet) uint32 {
	var n uint32
	if p.Flags.Has(inet.SYN) {
		n++
	}
	if p.Flags.Has(inet.FIN) {
		n++
	}
	return n
}

func (c *TCPConn) receive(p *inet.Packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == ended:
	case p.Flags.Has(inet.RST):
		c.receiveReset(p)
	case c.state == synSent:
		c.receiveSYNACK(p)
	case p.Flags.Has(inet.SYN):
		c.receiveRepeatedSYN()
	default:
		c.receiveSegment(p)
	}
}

func (c *TCPConn) receiveReset(p *inet.Packet) {
	switch {
	case c.state == synSent && p.Flags.Has(inet.ACK) && p.Ack == c.next:
		c.end(ErrRefused)
	case c.state != synSent && p.Seq-c.expected < receiveWindow:
		c.end(ErrReset)
	default:
		return
	}
	go c.forget() // the host's lock is taken after c.mu is free
}

func (c *TCPConn) receiveSYNACK(p *inet.Packet) {
	if !p.Flags.Has(inet.SYN|inet.ACK) || p.Ack != c.next {
		return
	}
	c.expected = p.Seq + 1
	c.establish()
	c.sendControl(inet.ACK, c.next)
}

// establish takes the acknowledgement of the connection's own SYN.
func (c *TCPConn) establish() {
	c.state = established
	c.unacked = c.next
	c.attempts = 0
	c.transmit()
	c.wake.Broadcast()
}

func (c *TCPConn) receiveRepeatedSYN() {
	if c.state == synReceived {
		c.sendControl(inet.SYN|inet.ACK, c.unacked)
		return
	}
	c.sendControl(inet.ACK, c.next)
}

func (c *TCPConn) receiveSegment(p *inet.Packet) {
	if c.state == synReceived {
		if p.Ack != c.next {
			return
		}
		c.establish()
		if c.accept != nil {
			c.accept(c)
		}
	}
	if p.Flags.Has(inet.ACK) {
		c.acknowledge(p.Ack)
	}
	switch {
	case len(p.Payload) > 0 || p.Flags.Has(inet.FIN):
		c.take(p)
		c.sendControl(inet.ACK, c.next)
	case int32(p.Seq-c.expected) < 0:
		// A keepalive segment (RFC 9293, section 3.8.4).
		c.sendControl(inet.ACK, c.next)
	}
	if c.finSeen && c.finAcked {
		c.linger()
	}
}

// take stores data in order; early segments wait for their predecessors.
func (c *TCPConn) take(p *inet.Packet) {
	c.store(p.Seq, p.Payload)
	if p.Flags.Has(inet.FIN) {
		end := p.Seq + uint32(len(p.Payload))
		c.earlyFin = &end
	}
	for {
		data, ok := c.early[c.expected]
		if !ok {
			break
		}
		delete(c.early, c.expected)
		c.in = append(c.in, data...)
		c.expected += uint32(len(data))
	}
	if c.earlyFin != nil && *c.earlyFin == c.expected && !c.finSeen {
		c.finSeen = true
		c.expected++
	}
	c.wake.Broadcast()
}

// store keeps the part of a segment's data that is new. A retransmission can
// begin with data that has arrived and end with data that has not.
func (c *TCPConn) store(seq uint32, data []byte) {
	if known := int32(c.expected - seq); known > 0 {
		data = data[min(int(known), len(data)):]
		seq = c.expected
	}
	if len(data) > len(c.early[seq]) {
		c.early[seq] = data
	}
}

// linger keeps the ended connection for a while, to acknowledge a repeated FIN.
func (c *TCPConn) linger() {
	if c.retransmit != nil {
		c.retransmit.Stop()
	}
	c.retransmit = time.AfterFunc(lingerTime, func() { c.abandon(ErrClosed) })
}
