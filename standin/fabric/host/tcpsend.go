package host

import (
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

// transmit sends as much as the window allows. The caller holds c.mu.
func (c *TCPConn) transmit() {
	if c.state != established {
		return
	}
	for {
		offset := int(c.sendNext - c.sendUnacked)
		size := min(len(c.sendBuffer)-offset, maxSegmentSize, sendWindow-offset)
		if size <= 0 {
			break
		}
		c.sendSegment(inet.PSH|inet.ACK, c.sendNext, c.sendBuffer[offset:offset+size])
		c.advanceSendNext(uint32(size))
	}
	if c.finQueued && !c.finAcked && c.sendNext == c.finSeq() {
		c.sendControl(inet.FIN|inet.ACK, c.sendNext)
		c.advanceSendNext(1)
	}
	c.resetRetransmitTimer()
}

func (c *TCPConn) advanceSendNext(n uint32) {
	c.sendNext += n
	if before(c.sendMax, c.sendNext) {
		c.sendMax = c.sendNext
	}
}

// finSeq returns the sequence number of the FIN that this side sends.
func (c *TCPConn) finSeq() uint32 { return c.sendUnacked + uint32(len(c.sendBuffer)) }

func (c *TCPConn) sendControl(flags inet.Flags, seq uint32) { c.sendSegment(flags, seq, nil) }

func (c *TCPConn) sendSegment(flags inet.Flags, seq uint32, payload []byte) {
	p := &inet.Packet{
		Protocol: inet.TCP, Src: c.local, Dst: c.key.remote,
		Seq: seq, Flags: flags, Window: receiveWindow, Payload: payload,
	}
	if flags.Has(inet.ACK) {
		p.Ack = c.receiveNext
	}
	_ = c.host.send(p) // a failed send counts as a lost segment
}

// resetRetransmitTimer restarts the retransmission timer, or stops it if
// everything is acknowledged.
func (c *TCPConn) resetRetransmitTimer() {
	if c.retransmitTimer != nil {
		c.retransmitTimer.Stop()
	}
	if c.sendUnacked != c.sendNext && c.state != closed {
		c.retransmitTimer = time.AfterFunc(initialRetransmitTimeout<<c.attempts, c.onTimeout)
	}
}

// onTimeout retransmits everything that is unacknowledged.
func (c *TCPConn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed || c.sendUnacked == c.sendNext {
		return
	}
	if c.attempts == maxRetransmits {
		c.setClosed(ErrTimeout)
		go c.unregister()
		return
	}
	c.attempts++
	c.retransmits++
	switch c.state {
	case synSent:
		c.sendControl(inet.SYN, c.sendUnacked)
		c.resetRetransmitTimer()
	case synReceived:
		c.sendControl(inet.SYN|inet.ACK, c.sendUnacked)
		c.resetRetransmitTimer()
	default:
		c.sendNext = c.sendUnacked
		c.transmit()
	}
}

// acknowledge handles an acknowledgement of the peer. The caller holds c.mu.
func (c *TCPConn) acknowledge(ack uint32) {
	if !before(c.sendUnacked, ack) || before(c.sendMax, ack) {
		return
	}
	count := int(ack - c.sendUnacked)
	if count > len(c.sendBuffer) {
		count = len(c.sendBuffer)
		c.finAcked = true
	}
	c.sendBuffer = c.sendBuffer[count:]
	c.sendUnacked = ack
	if before(c.sendNext, ack) {
		c.sendNext = ack
	}
	c.attempts = 0
	c.transmit()
	c.changed.Broadcast()
}

// before reports whether sequence number a is before b, considering wraparound.
func before(a, b uint32) bool { return int32(a-b) < 0 }
