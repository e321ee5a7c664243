package flow

import "time"

// State is the stage of a flow's life, which decides its idle timeout.
type State uint8

// States of a flow. The zero value marks an unused entry.
const (
	// TCPOpening is a TCP flow whose server has not responded.
	TCPOpening State = iota + 1
	// TCPEstablished is a TCP flow whose server has responded, or one adopted
	// without having been seen to open.
	TCPEstablished
	// TCPClosing is a TCP flow after a FIN in both directions or a RST.
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
	// Adopted: the flow did not open at this daemon.
	Adopted
	// PayloadSent: the server was sent payload of the caller, so the flow may
	// not move to another server.
	PayloadSent
	// Deviated: the server is not the flow's default server.
	Deviated
	// AwaitingResponse: the caller has sent a request, and the server has not responded
	// to it.
	AwaitingResponse
	// Paused: the flow does not count as load of its server, because the server
	// has nothing to do for it.
	Paused
	// Uncounted: the flow is closing and no longer counts as a connection of its
	// server.
	Uncounted
	// ResetPending: the caller's next segment is answered with a RST, because
	// the flow is silent and its server is gone.
	ResetPending
	// Searching: no server is known to have this adopted flow, so all servers
	// of its service are asked.
	Searching
	// finCaller, finServer: the caller or the server has sent a FIN.
	finCaller
	finServer
	// silentReported: the flow was reported as silent and the server has still
	// sent nothing.
	silentReported
)

// Direction tells which end sent a packet.
type Direction uint8

// Directions of a packet.
const (
	FromCaller Direction = iota
	FromServer
)

// Change tells what a packet changed in a flow, as a set of bits; 0 is no
// change that concerns other packages.
type Change uint8

// Changes that Observe returns.
const (
	// BecameConfirmed: this was the first response of the server.
	BecameConfirmed Change = 1 << iota
	// BecameClosing: this was the second FIN or a RST.
	BecameClosing
	// WasRefused: the server answered an opening flow with a RST. It comes
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

// Limits beyond which a flow counts as silent.
const (
	// SilentAfter is how long a caller must have been sending data without any
	// packet from the server.
	SilentAfter = 60 * time.Second
	// silentPackets is how many data packets the caller must have sent in that
	// time, so that one request repeated after a pause does not count.
	silentPackets = 3
)

// idleTimeout returns the idle timeout of a flow. An adopted flow that its
// server has not confirmed ends with the opening timeout in any TCP state, so
// that stray segments do not fill the table for two hours.
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
