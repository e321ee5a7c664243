package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/wait"
	"knapweedshore.example/standin/platform"
)

// Behaviour of the callers.
const (
	// callerTimeout is the time for which a caller retransmits a packet before the flow
	// fails. A crashed daemon is out of the rotation after one second, and a server that
	// no daemon could use is available again after a few seconds.
	callerTimeout = 5 * time.Second
	// maxRequests is the maximum number of requests on one flow and maxRequestPause
	// the maximum pause between two of them, so that flows last through restarts and
	// changes. Every second caller sends only one request on a flow: its many new flows
	// show to which servers the daemons send them.
	maxRequests     = 20
	maxRequestPause = 400 * time.Millisecond
)

// startCallers starts all callers, which open flows until ctx ends.
func (s *site) startCallers(ctx context.Context) {
	for n := range callers {
		seed := s.config.Seed<<8 + uint64(n)
		s.callers.Go(func() {
			c, err := platform.NewCaller(s.network.Addr(callerGroup, byte(n+1), dataPort), callerTimeout)
			if err != nil {
				s.checker.addViolation("start caller %d: %v", n, err)
				return
			}
			defer c.Close()
			random := rand.New(rand.NewPCG(seed, 3))
			for i := 0; ctx.Err() == nil; i++ {
				requests := 1
				if n%2 == 0 {
					requests += random.IntN(maxRequests)
				}
				s.playFlow(ctx, c, random, fmt.Sprintf("%d.%d", n, i), requests)
			}
		})
	}
}

// playFlow opens a flow, sends requests on it, closes it and checks the result.
func (s *site) playFlow(ctx context.Context, c *platform.Caller, random *rand.Rand, name string, requests int) {
	route := counterRoute
	if random.IntN(3) == 0 {
		route = guideRoute
	}
	flowName := fmt.Sprintf("flow %s to %s", name, route)
	began := time.Now()
	flow, err := c.Open(s.router, routes[route])
	if errors.Is(err, platform.ErrReset) {
		s.checker.addViolation("%s was refused although its route and servers exist", flowName)
	}
	answered := 0
	var owner *platform.Backend
	for err == nil && answered < requests && ctx.Err() == nil {
		request := fmt.Sprintf("%s %s.%d", route, name, answered)
		var response string
		if response, err = flow.Request(s.router, request); err != nil {
			break
		}
		owner = s.checkResponse(flowName, request, response, owner)
		answered++
		wait.For(ctx, time.Duration(random.Int64N(int64(maxRequestPause))))
	}
	if flow != nil && err == nil {
		err = flow.Close(s.router)
	}
	s.checkReset(flowName, owner, err)
	s.checker.checkFlow(flowName, began, answered, err)
}

// checkResponse checks that a response belongs to its request and comes from the
// server of the flow, which is nil before the first response. It returns the server
// that sent the response.
func (s *site) checkResponse(flowName, request, response string, owner *platform.Backend) *platform.Backend {
	id, body, _ := strings.Cut(response, " ")
	sender := s.backend(id)
	pool, _, _ := strings.Cut(request, " ")
	switch {
	case body != request:
		s.checker.addViolation("%s: request %q got the response %q", flowName, request, response)
	case sender == nil || sender.Pool != pool:
		s.checker.addViolation("%s: request was executed by server %s of another pool", flowName, id)
	case owner != nil && sender != owner:
		s.checker.addViolation("%s moved from server %s to %s", flowName, owner.ID, id)
	}
	return sender
}

// checkReset checks how an open flow ended. A daemon must not reset it. Servers reset
// flows that are not open on them, which may only happen after a failure of the
// flow's server.
func (s *site) checkReset(flowName string, owner *platform.Backend, err error) {
	switch {
	case owner == nil:
	case errors.Is(err, platform.ErrReset):
		s.checker.addViolation("%s on server %s was reset by a daemon", flowName, owner.ID)
	case errors.Is(err, platform.ErrServerReset) && s.runningUnimpaired(owner):
		s.checker.addViolation("%s was reset by a server although its server %s is running", flowName, owner.ID)
	}
}

// backend returns the server with an id, also one that has stopped, or nil.
func (s *site) backend(id string) *platform.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range s.servers {
		for _, b := range host.backends {
			if b.ID == id {
				return b
			}
		}
	}
	return nil
}

// runningUnimpaired reports whether a server is running and was not impaired during
// the last callerTimeout plus recoveryTime.
func (s *site) runningUnimpaired(b *platform.Backend) bool {
	s.mu.Lock()
	index := -1
	for _, host := range s.servers {
		if host.backend == b {
			index = host.index
		}
	}
	s.mu.Unlock()
	if index < 0 {
		return false
	}
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	now := time.Now()
	return s.checker.unimpaired(serverNode(index), now.Add(-callerTimeout-recoveryTime), now)
}
