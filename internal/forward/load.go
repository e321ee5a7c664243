package forward

import (
	"time"

	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/tables"
)

const (
	// PauseAfter is how long the server of a flow must be silent, with no
	// request outstanding, before the flow no longer counts as its load.
	PauseAfter = 250 * time.Millisecond
	// responseTimeout is how long a request without a response counts as load
	// of the server.
	responseTimeout = 10 * time.Second
	// udpConnectionTimeout is how long an idle UDP flow counts as a connection
	// of its server. The balancer cannot see the end of a QUIC connection, and
	// flows that ended long ago would use up the connection limits of all
	// servers.
	udpConnectionTimeout = 5 * time.Second
	// minRequestBytes is the minimum payload of a datagram that counts as part
	// of a request or response. Shorter datagrams are mostly QUIC
	// acknowledgements.
	minRequestBytes = 64
)

// observe updates the flow with a packet and reports to the policy what the
// packet shows about the flow's server.
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
		// The server's work ended with its last packet; later packets of the
		// caller do not count.
		e.endLoad(f, j.now.Add(-f.SinceServer(j.now)), j.now)
	}
}

// observeLoad updates the load that the flow puts on its server, which lasts
// from the caller's request to the server's last packet.
func (e *Engine) observeLoad(f *flow.Flow, d flow.Direction, j *job) {
	if !isWork(f, j) || f.State() == flow.TCPClosing {
		return
	}
	if f.Has(flow.Uncounted) {
		f.Clear(flow.Uncounted)
		e.startLoad(f, j.now)
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
// handshakes of TCP and QUIC take negligible time on the server.
func isWork(f *flow.Flow, j *job) bool {
	if j.info.Protocol == tables.TCP {
		return j.info.PayloadLen > 0
	}
	return j.info.PayloadLen >= minRequestBytes && (f.Has(flow.Confirmed) || !longHeader(j.payload()))
}

// startLoad counts the flow as a connection of its server. The flow counts as
// load from its first request on, so it starts paused.
func (e *Engine) startLoad(f *flow.Flow, now time.Time) {
	e.policy.Opened(f.Server(), now)
	f.Clear(flow.Paused)
	e.pauseLoad(f, now)
}

// pauseLoad stops counting the flow as load of its server from the given time
// on.
func (e *Engine) pauseLoad(f *flow.Flow, since time.Time) {
	if f.Has(flow.Paused) || f.Has(flow.Uncounted) {
		return
	}
	f.Set(flow.Paused)
	e.policy.Paused(f.Server(), since)
}

// pauseIfIdle pauses the flow if its server is not working on it, and ends an
// idle UDP flow's connection.
func (e *Engine) pauseIfIdle(f *flow.Flow, now time.Time) {
	idle, silence := f.Idle(now), f.SinceServer(now)
	switch {
	case isUDP(f) && idle >= udpConnectionTimeout:
		e.endLoad(f, now.Add(-idle), now)
	case f.Has(flow.AwaitingResponse) && idle >= responseTimeout:
		e.pauseLoad(f, now.Add(-idle))
	case !f.Has(flow.AwaitingResponse) && silence >= PauseAfter:
		e.pauseLoad(f, now.Add(-silence))
	}
}

func isUDP(f *flow.Flow) bool {
	return f.State() == flow.UDPUnanswered || f.State() == flow.UDPAnswered
}

// endLoad stops counting the flow as a connection of its server. It does
// nothing if that was done before. A UDP flow can start again.
func (e *Engine) endLoad(f *flow.Flow, ended, now time.Time) {
	if f.Has(flow.Uncounted) {
		return
	}
	if f.Has(flow.Paused) {
		// Closed expects a flow that counts as load, so the flow is resumed
		// first. With the same time for both, the server's busy time does not
		// change.
		ended = now
		e.policy.Resumed(f.Server(), now)
	}
	f.Clear(flow.Paused)
	f.Set(flow.Uncounted)
	e.policy.Closed(f.Server(), f.Opened(), ended)
}
