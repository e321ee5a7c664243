package cookie

import "time"

// minRepeatDelay tells a repeated payload from packets that overtook each other. Callers
// repeat what is not acknowledged after 200 ms, then after twice the last interval.
const minRepeatDelay = 100 * time.Millisecond

// progress follows the requests of one flow, as far as they show in the caller's packets:
// a request is the first new payload after an answer, and an answer the first
// acknowledgement of more data after a request.
type progress struct {
	// sentTo is the number of the first byte after the caller's payload, valid if sent is
	// set, and acked the highest acknowledgement number, valid if acknowledged is set.
	sentTo, acked      uint32
	sent, acknowledged bool
	// waiting is set from a request until its answer.
	waiting bool
	// requestedAt is when the last request was sent, and sentAt when payload was last sent
	// for it.
	requestedAt, sentAt time.Time
	// repeats counts how often payload of the current request was sent again in vain, and
	// requests the requests of the flow.
	repeats, requests int
}

// step is what one packet shows. A packet may acknowledge an answer and carry the next
// request.
type step struct {
	// answered is set if the answer to a request has arrived, after took.
	answered bool
	took     time.Duration
	// advanced is set if a packet of the server has just arrived.
	advanced bool
	// requested is set on the first packet of a request, repeated if the packet repeats
	// payload that the server has not acknowledged.
	requested, repeated bool
	// previouslySentAt is when the payload was sent before, valid if repeated is set.
	previouslySentAt time.Time
}

// observe updates the progress from a packet after the opening one.
func (g *progress) observe(p Packet, now time.Time) step {
	var s step
	advanced := g.acknowledged && isAfter(p.Ack, g.acked)
	if advanced || !g.acknowledged {
		g.acked, g.acknowledged = p.Ack, true
	}
	// The acknowledgement in a packet with payload may be about data that arrived long ago.
	s.advanced = advanced && (g.waiting || p.PayloadLen == 0)
	if g.waiting && (advanced || p.Ends) {
		g.waiting = false
		s.answered, s.took = true, now.Sub(g.requestedAt)
	}
	if p.PayloadLen == 0 || p.Aborts {
		return s
	}
	end := p.Seq + uint32(p.PayloadLen)
	switch isNew := !g.sent || isAfter(end, g.sentTo); {
	case isNew:
		g.sentTo, g.sent, g.sentAt = end, true, now
		if !g.waiting && !p.Ends {
			g.waiting, g.requestedAt, g.repeats = true, now, 0
			g.requests++
			s.requested = true
		}
	case g.waiting && now.Sub(g.sentAt) >= minRepeatDelay:
		s.repeated, s.previouslySentAt = true, g.sentAt
		g.sentAt = now
		g.repeats++
	}
	return s
}

// maxSeqDistance is the largest distance between the sequence numbers of packets that are on
// their way in one flow at the same time.
const maxSeqDistance = 1 << 20

// isOtherFlow reports whether a packet belongs to another flow between the same endpoints,
// which was opened through another daemon.
func (g *progress) isOtherFlow(p Packet) bool {
	distance := int32(p.Seq - g.sentTo)
	return g.sent && (distance > maxSeqDistance || distance < -maxSeqDistance)
}

// isAfter reports whether sequence number x follows y. Sequence numbers wrap around.
func isAfter(x, y uint32) bool { return int32(x-y) > 0 }
