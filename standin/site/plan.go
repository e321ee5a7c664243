package site

import (
	"fmt"
	"math/rand/v2"
	"time"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
)

const (
	// longShare is the share of desk flows that stay open, with pauses between
	// their requests, so that changes always meet established flows.
	longShare    = 0.1
	longRequests = 4
	longPause    = 1500 * time.Millisecond
	// confirmShare is the share of confirmations among a desk's requests.
	confirmShare = 0.3

	// Sizes of transfers; the mean is half their sum.
	minFile = 256 << 10
	maxFile = 2 << 20
)

// plan is what one flow does.
type plan struct {
	requests []backend.Request
	pause    time.Duration
}

// planner draws flows of one service from a seeded generator.
type planner struct {
	rng     *rand.Rand
	service Service
	next    int
}

func newPlanner(seed uint64, index int, s Service) *planner {
	return &planner{rng: rand.New(rand.NewPCG(seed, uint64(index))), service: s}
}

// wait draws the time to the next flow of a Poisson process.
func (p *planner) wait() time.Duration {
	return time.Duration(p.rng.ExpFloat64() / p.service.FlowsPerSecond * float64(time.Second))
}

func (p *planner) flow() plan {
	if p.service.Workload == TransferWorkload {
		size := minFile + p.rng.Int64N(maxFile-minFile)
		return plan{requests: []backend.Request{{Operation: backend.File, ID: p.id(), Size: size}}}
	}
	n, pause := 1, time.Duration(0)
	if p.rng.Float64() < longShare {
		n, pause = longRequests, longPause
	}
	var requests []backend.Request
	for range n {
		operation := backend.Check
		if p.rng.Float64() < confirmShare {
			operation = backend.Confirm
		}
		requests = append(requests, backend.Request{Operation: operation, ID: p.id()})
	}
	return plan{requests: requests, pause: pause}
}

// id returns a name that no other request of the run has.
func (p *planner) id() string {
	p.next++
	return fmt.Sprintf("%s-%d", p.service.Name, p.next)
}

// script varies how TCP flows end.
func (p *planner) script(f plan) caller.Script {
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

// slotTime is the mean slot time of a flow on a server of speed 1.
func slotTime(use Workload, c backend.Costs) time.Duration {
	if use == TransferWorkload {
		chunks := float64(minFile+maxFile)/2/backend.ChunkSize + 0.5
		return time.Duration(chunks * float64(c.Chunk))
	}
	request := confirmShare*float64(c.Confirm) + (1-confirmShare)*float64(c.Check)
	return time.Duration(request * (1 + longShare*(longRequests-1)))
}
