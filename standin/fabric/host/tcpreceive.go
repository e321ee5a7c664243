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
		l.acceptSYN(key, p)
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
		reply.Ack = p.Seq + uint32(len(p.Payload)) + controlLength(p)
	}
	_ = h.send(reply) // a failed send counts as a lost reset
}

// controlLength returns how many sequence numbers the SYN and FIN of a segment
// occupy.
func controlLength(p *inet.Packet) uint32 {
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
	case c.state == closed:
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
	case c.state == synSent && p.Flags.Has(inet.ACK) && p.Ack == c.sendNext:
		c.setClosed(ErrRefused)
	case c.state != synSent && p.Seq-c.receiveNext < receiveWindow:
		c.setClosed(ErrReset)
	default:
		return
	}
	go c.unregister() // locks host.mu, which must not happen while c.mu is held
}

func (c *TCPConn) receiveSYNACK(p *inet.Packet) {
	if !p.Flags.Has(inet.SYN|inet.ACK) || p.Ack != c.sendNext {
		return
	}
	c.receiveNext = p.Seq + 1
	c.establish()
	c.sendControl(inet.ACK, c.sendNext)
}

// establish handles the acknowledgement of the SYN that this side sent. The
// caller holds c.mu.
func (c *TCPConn) establish() {
	c.state = established
	c.sendUnacked = c.sendNext
	c.attempts = 0
	c.transmit()
	c.changed.Broadcast()
}

func (c *TCPConn) receiveRepeatedSYN() {
	if c.state == synReceived {
		c.sendControl(inet.SYN|inet.ACK, c.sendUnacked)
		return
	}
	c.sendControl(inet.ACK, c.sendNext)
}

func (c *TCPConn) receiveSegment(p *inet.Packet) {
	if c.state == synReceived {
		if p.Ack != c.sendNext {
			return
		}
		c.establish()
		if c.onEstablished != nil {
			c.onEstablished(c)
		}
	}
	if p.Flags.Has(inet.ACK) {
		c.acknowledge(p.Ack)
	}
	switch {
	case len(p.Payload) > 0 || p.Flags.Has(inet.FIN):
		c.reassemble(p)
		c.sendControl(inet.ACK, c.sendNext)
	case int32(p.Seq-c.receiveNext) < 0:
		// A keepalive segment (RFC 9293, section 3.8.4).
		c.sendControl(inet.ACK, c.sendNext)
	}
	if c.finReceived && c.finAcked {
		c.enterTimeWait()
	}
}

// reassemble appends received data to the receive buffer in order. Segments after
// a gap are kept until it is filled.
func (c *TCPConn) reassemble(p *inet.Packet) {
	c.bufferSegment(p.Seq, p.Payload)
	if p.Flags.Has(inet.FIN) {
		finSeq := p.Seq + uint32(len(p.Payload))
		c.peerFinSeq = &finSeq
	}
	for {
		data, ok := c.outOfOrder[c.receiveNext]
		if !ok {
			break
		}
		delete(c.outOfOrder, c.receiveNext)
		c.receiveBuffer = append(c.receiveBuffer, data...)
		c.receiveNext += uint32(len(data))
	}
	if c.peerFinSeq != nil && *c.peerFinSeq == c.receiveNext && !c.finReceived {
		c.finReceived = true
		c.receiveNext++
	}
	c.changed.Broadcast()
}

// bufferSegment keeps the new part of a segment's data. A retransmission may start
// with data that has been received and end with data that has not.
func (c *TCPConn) bufferSegment(seq uint32, data []byte) {
	if received := int32(c.receiveNext - seq); received > 0 {
		data = data[min(int(received), len(data)):]
		seq = c.receiveNext
	}
	if len(data) > len(c.outOfOrder[seq]) {
		c.outOfOrder[seq] = data
	}
}

// enterTimeWait keeps a connection that both sides have closed, in order to
// acknowledge a retransmitted FIN of the peer until timeWaitDuration has passed.
func (c *TCPConn) enterTimeWait() {
	if c.retransmitTimer != nil {
		c.retransmitTimer.Stop()
	}
	c.retransmitTimer = time.AfterFunc(timeWaitDuration, func() { c.abort(ErrClosed) })
}
