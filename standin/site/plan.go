package site

import (
	"fmt"
	"math/rand/v2"
	"time"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
)

const (
	// longFlowShare is the share of desk flows that stay open and pause between
	// requests, so that every change affects established flows.
	longFlowShare    = 0.1
	longFlowRequests = 4
	longFlowPause    = 1500 * time.Millisecond
	// confirmShare is the share of confirmations among the requests of desk flows.
	confirmShare = 0.3

	// Sizes of transfers in bytes are uniformly distributed in this range, so
	// their mean is half the sum of both.
	minTransferBytes = 256 << 10
	maxTransferBytes = 2 << 20
)

// flowPlan describes the requests of one flow and the pause between them.
type flowPlan struct {
	requests []backend.Request
	pause    time.Duration
}

// planner generates pseudo-random flows of one service.
type planner struct {
	rng     *rand.Rand
	service Service
	lastID  int
}

func newPlanner(seed uint64, index int, s Service) *planner {
	return &planner{rng: rand.New(rand.NewPCG(seed, uint64(index))), service: s}
}

// nextInterval returns a random time until the next flow. Flows are opened in a
// Poisson process.
func (p *planner) nextInterval() time.Duration {
	return time.Duration(p.rng.ExpFloat64() / p.service.FlowsPerSecond * float64(time.Second))
}

// nextFlow returns a random flow of the service's workload.
func (p *planner) nextFlow() flowPlan {
	if p.service.Workload == TransferWorkload {
		size := minTransferBytes + p.rng.Int64N(maxTransferBytes-minTransferBytes)
		return flowPlan{requests: []backend.Request{{Operation: backend.File, ID: p.nextID(), Size: size}}}
	}
	n, pause := 1, time.Duration(0)
	if p.rng.Float64() < longFlowShare {
		n, pause = longFlowRequests, longFlowPause
	}
	var requests []backend.Request
	for range n {
		operation := backend.Check
		if p.rng.Float64() < confirmShare {
			operation = backend.Confirm
		}
		requests = append(requests, backend.Request{Operation: operation, ID: p.nextID()})
	}
	return flowPlan{requests: requests, pause: pause}
}

// nextID returns an identifier that no other request of the run has.
func (p *planner) nextID() string {
	p.lastID++
	return fmt.Sprintf("%s-%d", p.service.Name, p.lastID)
}

// tcpScript returns a script for the flow. Flows with one request end in different
// ways.
func (p *planner) tcpScript(f flowPlan) caller.Script {
	if len(f.requests) > 1 {
		return caller.ExchangeWithPauses(f.pause, f.requests...)
	}
	switch p.rng.IntN(4) {
	case 0:
		return caller.SendAndHalfClose(f.requests[0])
	case 1:
		return caller.ExchangeAndReset(f.requests[0])
	}
	return caller.Exchange(f.requests...)
}

// meanSlotTime returns the mean time that a flow occupies a slot of a server with
// speed 1.
func meanSlotTime(workload Workload, c backend.Costs) time.Duration {
	if workload == TransferWorkload {
		chunks := float64(minTransferBytes+maxTransferBytes)/2/backend.ChunkSize + 0.5
		return time.Duration(chunks * float64(c.Chunk))
	}
	request := confirmShare*float64(c.Confirm) + (1-confirmShare)*float64(c.Check)
	return time.Duration(request * (1 + longFlowShare*(longFlowRequests-1)))
}
