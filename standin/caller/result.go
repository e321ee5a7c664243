// Package caller is a stand-in for callers: flows over HTTP/3 and scripted
// flows over TCP, each of which ends with a checked result.
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
	// Completed flows got the complete and right response to each request.
	Completed Outcome = "completed"
	// Refused flows were told that their request was not executed.
	Refused Outcome = "refused"
	// Broken flows ended in any other way.
	Broken Outcome = "broken"
)

// Reason tells why a flow was refused or broken.
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
	// Stopped flows were ended by the caller itself at the end of a run.
	Stopped Reason = "stopped"
)

// Result is the end of one flow.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Err has the details of a flow that is not completed.
	Err error
	// Caller is the flow's own end.
	Caller netip.AddrPort
	// Requests are those that were begun.
	Requests []backend.Request
	// Latencies are the times to the end of each complete response.
	Latencies     []time.Duration
	Opened, Ended time.Time
	// Retransmits counts timeouts of a TCP flow.
	Retransmits int
}

// failure is an error with the way in which it ends a flow.
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
