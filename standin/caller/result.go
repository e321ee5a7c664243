// Package caller is a stand-in for callers. It opens flows over HTTP/3 and
// scripted flows over TCP, checks every response and reports a Result for each
// flow.
package caller

import (
	"net/netip"
	"time"

	"knapweedshore.example/standin/backend"
)

// Outcome is how a flow ended.
type Outcome string

// Outcomes of a flow.
const (
	// Completed flows got a complete and correct response to each request.
	Completed Outcome = "completed"
	// Refused flows were told that a request was not executed.
	Refused Outcome = "refused"
	// Broken flows ended in any other way.
	Broken Outcome = "broken"
)

// Reason is why a flow was refused or broken.
type Reason string

// Reasons of refused flows.
const (
	ResetOnSYN        Reason = "reset_on_syn"
	PortUnreachable   Reason = "port_unreachable"
	LoadShed          Reason = "load_shed"
	ConnectionRefused Reason = "connection_refused"
)

// Reasons of broken flows.
const (
	ConnectTimeout    Reason = "connect_timeout"
	ResponseTimeout   Reason = "response_timeout"
	ResetByPeer       Reason = "reset_by_peer"
	Unacknowledged    Reason = "unacknowledged"
	WrongHash         Reason = "wrong_hash"
	WrongAnswer       Reason = "wrong_answer"
	ShortResponse     Reason = "short_response"
	DataAfterResponse Reason = "data_after_response"
	OtherError        Reason = "other_error"
	// Stopped flows were ended by the caller because their context ended.
	Stopped Reason = "stopped"
)

// Result is the result of one flow.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Err says why the flow failed. It is nil for completed flows.
	Err error
	// Caller is the caller's address and port.
	Caller netip.AddrPort
	// Requests are the requests that the caller began to send.
	Requests []backend.Request
	// Latencies are the times from each request to the end of its response, for
	// complete responses.
	Latencies     []time.Duration
	Opened, Ended time.Time
	// Retransmits counts the retransmission timeouts of a TCP flow.
	Retransmits int
}

// failure is an error with the outcome and reason of the flow that it ends.
type failure struct {
	outcome Outcome
	reason  Reason
	err     error
}

func (f *failure) Error() string {
	return string(f.outcome) + ": " + string(f.reason) + ": " + f.err.Error()
}

func (f *failure) Unwrap() error { return f.err }

func broken(reason Reason, err error) error {
	return &failure{outcome: Broken, reason: reason, err: err}
}

func refused(reason Reason, err error) error {
	return &failure{outcome: Refused, reason: reason, err: err}
}
