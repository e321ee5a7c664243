package cookie

import (
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/metrics"
)

const (
	// closeLength is the length that the acknowledgement of a server's FIN adds.
	closeLength = 1
	// settleTime is how long no further part of an answer has to come before it counts
	// as complete. Callers keep some flows open for long after an answer.
	settleTime = 150 * time.Millisecond
)

// answer tracks the answer to the request that a flow has in progress, from the caller's
// acknowledgements: its length is what the caller has acknowledged between the request and
// the next one or the end of the flow.
type answer struct {
	// awaited is set while there is a request whose answer is not complete.
	awaited bool
	// requestAck is the acknowledgement number of the request, acked the highest one since.
	requestAck, acked uint32
	// beganAt and grewAt are the times of the first and the last part of the answer.
	requestedAt, beganAt, grewAt time.Time
	// overdue is set while the request counts as failed until it is answered.
	overdue bool
	// busy is set if the server had a queue when the request came. It may refuse requests
	// for lack of room then, which is no failure.
	busy bool
	// short is set if the last answer was short. A caller whose answers are always short
	// counts once, since its flow stays with one server.
	short bool
}

func (a *answer) length() int { return int(a.acked - a.requestAck) }

// trackAnswer updates the flow's answer from a packet of the caller.
func (e *Engine) trackAnswer(f *flow, p Packet, s step, now time.Time) {
	a := &f.answer
	if a.awaited && int32(p.Ack-a.acked) > 0 {
		if a.length() <= closeLength {
			a.beganAt = now
		}
		a.acked, a.grewAt = p.Ack, now
	}
	if a.awaited && (p.Ends || p.Aborts || s.requested) {
		e.endAnswer(f, now)
	}
	if !a.awaited && s.requested {
		a.awaited, a.requestAck, a.acked, a.requestedAt = true, p.Ack, p.Ack, now
		a.busy = e.placer.Busy(f.server)
	}
}

// endAnswer records the result of the request in progress, which has no further answer.
func (e *Engine) endAnswer(f *flow, now time.Time) {
	a := &f.answer
	length, short := a.length(), false
	switch {
	case length > closeLength:
		short = length < e.norms.ShortLength(f.route.Name)
		e.norms.Learn(f.route.Name, length)
		switch {
		case short && (a.short || a.busy):
		case short:
			e.recordResult(f, evidence.Failed, now)
		case a.beganAt.Sub(a.requestedAt) > targetLatency(f.route):
			e.recordResult(f, evidence.Late, now)
		default:
			e.recordResult(f, evidence.Timely, now)
		}
	case length == closeLength || now.Sub(a.requestedAt) > targetLatency(f.route):
		e.recordResult(f, evidence.Failed, now)
	}
	e.dropAnswer(f, now)
	a.short = short
}

func (e *Engine) recordResult(f *flow, r evidence.Result, now time.Time) {
	if r == evidence.Failed {
		e.metrics.Count(metrics.RequestsFailed, 1)
	}
	e.outcomes.Add(f.server.Cookie, r, now)
}

// dropAnswer stops tracking the request in progress.
func (e *Engine) dropAnswer(f *flow, now time.Time) {
	if f.answer.overdue {
		e.outcomes.AddOverdue(f.server.Cookie, -1, now)
	}
	f.answer = answer{short: f.answer.short}
}

// checkAnswer records a request that is overdue or has had its time without an answer, and
// ends an answer of which no further part comes.
func (e *Engine) checkAnswer(f *flow, now time.Time) {
	a := &f.answer
	if !a.awaited {
		return
	}
	age := now.Sub(a.requestedAt)
	answered := a.length() > closeLength
	switch {
	case !answered && age > f.timeout():
		e.recordResult(f, evidence.Failed, now)
		e.dropAnswer(f, now)
	case !answered && !a.overdue && age > 2*targetLatency(f.route):
		a.overdue = true
		e.outcomes.AddOverdue(f.server.Cookie, 1, now)
	case answered && now.Sub(a.grewAt) > settleTime:
		e.endAnswer(f, now)
	}
}

// targetLatency returns the latency up to which the answers of a route are in time.
func targetLatency(r *directory.Route) time.Duration {
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	if r.Timeout > 0 {
		return r.Timeout / 2
	}
	return defaultTimeout / 2
}
