package caller

import "knapweedshore.example/standin/backend"

// Action is one step of a TCP script.
type Action int

// Actions of a script. Every script begins with Open.
const (
	// Open connects.
	Open Action = iota
	// Send writes the request of the step.
	Send
	// Expect reads and checks the response to the oldest request that was sent
	// and not yet answered.
	Expect
	// HalfClose sends a FIN; responses still arrive.
	HalfClose
	// ExpectEnd waits for the server's FIN and checks that no more data comes.
	ExpectEnd
	// Reset ends the flow with a RST.
	Reset
)

// Step is an action with its request, which only Send has.
type Step struct {
	Action  Action
	Request backend.Request
}

// Script is what a TCP flow does, step by step.
type Script []Step

// Exchange sends each request after the response to the one before it, and
// closes.
func Exchange(requests ...backend.Request) Script {
	s := Script{{Action: Open}}
	for _, r := range requests {
		s = append(s, Step{Action: Send, Request: r}, Step{Action: Expect})
	}
	return append(s, Step{Action: HalfClose}, Step{Action: ExpectEnd})
}

// SendAndHalfClose half-closes before the response arrives.
func SendAndHalfClose(r backend.Request) Script {
	return Script{{Action: Open}, {Action: Send, Request: r}, {Action: HalfClose}, {Action: Expect}, {Action: ExpectEnd}}
}

// ExchangeAndReset ends with a RST after the response.
func ExchangeAndReset(r backend.Request) Script {
	return Script{{Action: Open}, {Action: Send, Request: r}, {Action: Expect}, {Action: Reset}}
}
