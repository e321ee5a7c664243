package forward

import (
	"time"

	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/tables"
)

const (
	// PauseAfter is how long the server of a flow is silent before it counts
	// as having nothing to do for it.
	PauseAfter = 250 * time.Millisecond
	// waitLimit ends the wait for a response that does not come.
	waitLimit = 10 * time.Second
	// udpConnectionIdle is how long an idle UDP flow counts as a connection of
	// its server. The end of a QUIC connection cannot be seen, and flows that
	// ended long ago would fill the limits of all servers.
	udpConnectionIdle = 5 * time.Second
	// minRequestDatagram is the length of the shortest datagram that counts as
	// a request. Shorter ones are acknowledgements of QUIC in most cases.
	minRequestDatagram = 64
)

// observe records a packet in the flow and tells the policy what it shows
// about the flow's server.
func (e *Engine) observe(f *flow.Flow, d flow.Direction, j *job) {
	e.observeLoad(f, d, j)
	change := f.Observe(d, &j.info, j.now)
	if change == 0 {
		return
	}
	if change.Has(flow.WasRefused) {
		e.policy.Failed(f.Server(), j.now)
	} else if change.Has(flow.BecameConfirmed) && !f.Has(flow.Adopted) {
		e.policy.Answered(f.Server(), j.now.Sub(f.Opened()), j.now)
	}
	if change.Has(flow.BecameClosing) {
		// What the caller sent after the server's last packet is no work.
		e.end(f, j.now.Add(-f.SinceServer(j.now)), j.now)
	}
}

// observeLoad counts the flow as load from the caller's request to the server's
// last packet.
func (e *Engine) observeLoad(f *flow.Flow, d flow.Direction, j *job) {
	if !isWork(f, j) || f.State() == flow.TCPClosing {
		return
	}
	if f.Has(flow.Uncounted) {
		f.Clear(flow.Uncounted)
		e.start(f, j.now)
	}
	if d == flow.FromCaller {
		f.Set(flow.AwaitingResponse)
	} else {
		f.Clear(flow.AwaitingResponse)
	}
	if f.Has(flow.Paused) {
		f.Clear(flow.Paused)
		e.policy.Resumed(f.Server(), j.now)
	}
}

// isWork reports whether the packet is part of a request or a response. The
// handshakes of TCP and QUIC take no time of the server worth counting.
func isWork(f *flow.Flow, j *job) bool {
	if j.info.Protocol == tables.TCP {
		return j.info.PayloadLen > 0
	}
	return j.info.PayloadLen >= minRequestDatagram && (f.Has(flow.Confirmed) || !longHeader(j.payload()))
}

// start counts a flow on its server. It is load from its first request on.
func (e *Engine) start(f *flow.Flow, now time.Time) {
	e.policy.Opened(f.Server(), now)
	f.Clear(flow.Paused)
	e.pause(f, now)
}

func (e *Engine) pause(f *flow.Flow, since time.Time) {
	if f.Has(flow.Paused) || f.Has(flow.Uncounted) {
		return
	}
	f.Set(flow.Paused)
	e.policy.Paused(f.Server(), since)
}

// pauseIdle pauses the flow if its server has nothing to do for it.
func (e *Engine) pauseIdle(f *flow.Flow, now time.Time) {
	idle, silence := f.Idle(now), f.SinceServer(now)
	switch {
	case isUDP(f) && idle >= udpConnectionIdle:
		e.end(f, now.Add(-idle), now)
	case f.Has(flow.AwaitingResponse) && idle >= waitLimit:
		e.pause(f, now.Add(-idle))
	case !f.Has(flow.AwaitingResponse) && silence >= PauseAfter:
		e.pause(f, now.Add(-silence))
	}
}

func isUDP(f *flow.Flow) bool {
	return f.State() == flow.UDPUnanswered || f.State() == flow.UDPAnswered
}

// end takes the flow off its server's connections, once. A UDP flow can start
// again.
func (e *Engine) end(f *flow.Flow, ended, now time.Time) {
	if f.Has(flow.Uncounted) {
		return
	}
	if f.Has(flow.Paused) {
		// Closed ends a flow that counts as load. At one time, both leave the
		// server's busy time as it is.
		ended = now
		e.policy.Resumed(f.Server(), now)
	}
	f.Clear(flow.Paused)
	f.Set(flow.Uncounted)
	e.policy.Closed(f.Server(), f.Opened(), ended)
}
