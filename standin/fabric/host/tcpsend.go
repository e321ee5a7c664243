package host

import (
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

// transmit sends what the window allows; the caller holds c.mu.
func (c *TCPConn) transmit() {
	if c.state != established {
		return
	}
	for {
		offset := int(c.next - c.unacked)
		size := min(len(c.out)-offset, maxSegment, sendWindow-offset)
		if size <= 0 {
			break
		}
		c.sendSegment(inet.PSH|inet.ACK, c.next, c.out[offset:offset+size])
		c.advance(uint32(size))
	}
	if c.finQueued && !c.finAcked && c.next == c.finSequence() {
		c.sendControl(inet.FIN|inet.ACK, c.next)
		c.advance(1)
	}
	c.arm()
}

func (c *TCPConn) advance(n uint32) {
	c.next += n
	if before(c.highest, c.next) {
		c.highest = c.next
	}
}

func (c *TCPConn) finSequence() uint32 { return c.unacked + uint32(len(c.out)) }

func (c *TCPConn) sendControl(flags inet.Flags, seq uint32) { c.sendSegment(flags, seq, nil) }

func (c *TCPConn) sendSegment(flags inet.Flags, seq uint32, payload []byte) {
	p := &inet.Packet{
		Protocol: inet.TCP, Src: c.local, Dst: c.key.remote,
		Seq: seq, Flags: flags, Window: receiveWindow, Payload: payload,
	}
	if flags.Has(inet.ACK) {
		p.Ack = c.expected
	}
	_ = c.host.send(p) // a segment that cannot be sent is a lost segment
}

// arm runs the retransmission timer while something is unacknowledged.
func (c *TCPConn) arm() {
	if c.retransmit != nil {
		c.retransmit.Stop()
	}
	if c.unacked != c.next && c.state != ended {
		c.retransmit = time.AfterFunc(firstRetransmit<<c.attempts, c.onTimeout)
	}
}

// onTimeout sends everything that is unacknowledged again.
func (c *TCPConn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == ended || c.unacked == c.next {
		return
	}
	if c.attempts == maxRetransmits {
		c.end(ErrTimeout)
		go c.forget()
		return
	}
	c.attempts++
	c.retransmits++
	switch c.state {
	case synSent:
		c.sendControl(inet.SYN, c.unacked)
		c.arm()
	case synReceived:
		c.sendControl(inet.SYN|inet.ACK, c.unacked)
		c.arm()
	default:
		c.next = c.unacked
		c.transmit()
	}
}

// acknowledge takes the peer's acknowledgement; the caller holds c.mu.
func (c *TCPConn) acknowledge(ack uint32) {
	if !before(c.unacked, ack) || before(c.highest, ack) {
		return
	}
	count := int(ack - c.unacked)
	if count > len(c.out) {
		count = len(c.out)
		c.finAcked = true
	}
	c.out = c.out[count:]
	c.unacked = ack
	if before(c.next, ack) {
		c.next = ack
	}
	c.attempts = 0
	c.transmit()
	c.wake.Broadcast()
}

// before compares sequence numbers, which wrap around.
func before(a, b uint32) bool { return int32(a-b) < 0 }
