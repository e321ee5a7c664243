package flow

import "time"

// State is the state of a flow. It determines the idle timeout.
type State uint8

// States of a flow. The zero value marks an unused entry.
const (
	// TCPOpening is a TCP flow whose server has not responded.
	TCPOpening State = iota + 1
	// TCPEstablished is a TCP flow whose server has responded, or an adopted TCP flow
	// whose opening this daemon has not seen.
	TCPEstablished
	// TCPClosing is a TCP flow after a FIN in both directions or after a RST.
	TCPClosing
	// UDPUnanswered is a UDP flow whose server has not responded.
	UDPUnanswered
	// UDPAnswered is a UDP flow whose server has responded.
	UDPAnswered
)

var stateNames = [...]string{"unused", "opening", "established", "closing", "unanswered", "answered"}

// String returns the state in lower case, for logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Flags are properties of a flow.
type Flags uint16

// Flags of a flow.
const (
	// Confirmed: the server has responded.
	Confirmed Flags = 1 << iota
	// Adopted: the flow was not opened at this daemon.
	Adopted
	// PayloadSent: payload of the caller was sent to the server, so the flow must not
	// move to another server.
	PayloadSent
	// Deviated: the server is not the default server of the flow.
	Deviated
	// AwaitingResponse: the caller has sent a request to which the server has not
	// responded.
	AwaitingResponse
	// Paused: the flow does not count as load of its server, because the server has no
	// work for it.
	Paused
	// Uncounted: the flow does not count as a connection of its server, because it is
	// closing or is an idle UDP flow.
	Uncounted
	// ResetPending: the caller's next packet is refused and ends the flow, because the
	// flow is silent and its server is removed or ejected.
	ResetPending
	// Searching: it is unknown which server has this adopted flow, so all servers of
	// its route are probed.
	Searching
	// finCaller and finServer: the caller or the server has sent a FIN.
	finCaller
	finServer
	// silentReported: the flow was reported as silent, and the server has not sent a
	// packet since.
	silentReported
)

// Direction tells which end of a flow sent a packet.
type Direction uint8

// Directions of a packet.
const (
	FromCaller Direction = iota
	FromServer
)

// Change is a set of bits that tell what a packet changed in a flow. It is 0 if
// nothing changed that callers of Observe need to know.
type Change uint8

// Changes that Observe returns.
const (
	// BecameConfirmed: this was the first response of the server.
	BecameConfirmed Change = 1 << iota
	// BecameClosing: this was a RST or the second of the two FINs.
	BecameClosing
	// WasRefused: the server responded to an opening flow with a RST. It is set
	// together with BecameClosing.
	WasRefused
)

// Has reports whether c contains all bits of d.
func (c Change) Has(d Change) bool { return c&d == d }

// Idle timeouts.
const (
	OpeningTimeout     = 30 * time.Second
	EstablishedTimeout = 2 * time.Hour
	ClosingTimeout     = 30 * time.Second
	UnansweredTimeout  = 30 * time.Second
	AnsweredTimeout    = 3 * time.Minute
)

// Limits for Flow.Silent.
const (
	// SilentAfter is the minimum time for which the caller must have been sending data
	// without any packet from the server.
	SilentAfter = 60 * time.Second
	// silentPackets is the minimum number of data packets in that time, so that a
	// single request that is repeated after a pause does not count.
	silentPackets = 3
)

// idleTimeout returns the idle timeout of a flow. An established adopted flow that
// its server has not confirmed has the timeout of an opening flow, so that stray
// segments do not occupy the table for two hours.
func (f *Flow) idleTimeout() time.Duration {
	switch f.state {
	case TCPOpening:
		return OpeningTimeout
	case TCPEstablished:
		if f.flags&(Adopted|Confirmed) == Adopted {
			return OpeningTimeout
		}
		return EstablishedTimeout
	case TCPClosing:
		return ClosingTimeout
	case UDPAnswered:
		return AnsweredTimeout
	}
	return UnansweredTimeout
}
