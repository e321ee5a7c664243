package caller

import (
	"context"
	"time"

	"knapweedshore.example/standin/backend"
)

// Action is one step of a TCP script.
type Action int

// Actions of a script. Every script must begin with Open.
const (
	// Open opens the connection.
	Open Action = iota
	// Send writes the request of the step.
	Send
	// Expect reads and checks the response to the oldest unanswered request.
	Expect
	// HalfClose sends a FIN. Responses can still arrive.
	HalfClose
	// ExpectEnd waits for the server's FIN and checks that no data precedes it.
	ExpectEnd
	// Reset aborts the connection with a RST.
	Reset
	// Pause waits for Step.Pause.
	Pause
)

// Step is an action with its argument.
type Step struct {
	Action Action
	// Request is the request of a Send.
	Request backend.Request
	// Pause is the duration of a Pause.
	Pause time.Duration
}

// Script is the sequence of steps of a TCP flow.
type Script []Step

// Exchange returns a script that sends each request after the response to the
// previous one and then closes the connection.
func Exchange(requests ...backend.Request) Script { return ExchangeWithPauses(0, requests...) }

// ExchangeWithPauses is like Exchange, with a pause before each request but the
// first.
func ExchangeWithPauses(pause time.Duration, requests ...backend.Request) Script {
	s := Script{{Action: Open}}
	for i, r := range requests {
		if i > 0 && pause > 0 {
			s = append(s, Step{Action: Pause, Pause: pause})
		}
		s = append(s, Step{Action: Send, Request: r}, Step{Action: Expect})
	}
	return append(s, Step{Action: HalfClose}, Step{Action: ExpectEnd})
}

// SendAndHalfClose returns a script that half-closes the connection before it
// reads the response.
func SendAndHalfClose(r backend.Request) Script {
	return Script{{Action: Open}, {Action: Send, Request: r}, {Action: HalfClose}, {Action: Expect}, {Action: ExpectEnd}}
}

// ExchangeAndReset returns a script that resets the connection after the
// response.
func ExchangeAndReset(r backend.Request) Script {
	return Script{{Action: Open}, {Action: Send, Request: r}, {Action: Expect}, {Action: Reset}}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
