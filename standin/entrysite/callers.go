package entrysite

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/platform"
)

// Behaviour of the callers.
const (
	// flowTimeout is the time for which a caller retransmits a packet before the flow
	// fails. A daemon that crashed is out of the rotation after one second.
	flowTimeout = 5 * time.Second
	// maxRequests is the maximum number of requests on one flow, maxPause the maximum
	// pause between two of them.
	maxRequests = 12
	maxPause    = 200 * time.Millisecond
)

// startCallers starts all callers, which open flows until ctx ends.
func (s *site) startCallers(ctx context.Context) (*sync.WaitGroup, error) {
	var group sync.WaitGroup
	for n := range callers {
		c, err := platform.NewCaller(s.addr(callerGroup, byte(n+1), dataPort), flowTimeout)
		if err != nil {
			return nil, err
		}
		seed := s.random.Uint64()
		group.Go(func() {
			defer c.Close()
			random := newRandomSource(seed)
			for ctx.Err() == nil {
				s.playFlow(ctx, c, random)
			}
		})
	}
	return &group, nil
}

// playFlow opens a flow, sends requests on it and closes it.
func (s *site) playFlow(ctx context.Context, c *platform.Caller, random randomSource) {
	service, pool := counterAddr, counterPool
	if random.intN(3) == 0 {
		service, pool = guideAddr, guidePool
	}
	flow, err := c.Open(s.router, service)
	if err != nil {
		s.report.addBrokenFlow("flow to %s could not be opened: %v", pool, err)
		return
	}
	server := ""
	for i := range 1 + random.intN(maxRequests) {
		request := fmt.Sprintf("%s %d %d", pool, random.intN(1<<30), i)
		response, err := flow.Request(s.router, request)
		if err != nil {
			s.report.addBrokenFlow("flow to %s on %s, which %d servers accepted, broke at request %d: %v", pool, server, flow.Accepted(), i, err)
			return
		}
		id, body, _ := strings.Cut(response, " ")
		switch {
		case body != request:
			s.report.addViolation("request %q got the response %q", request, response)
		case s.poolOf(id) != pool:
			s.report.addViolation("request for %s was executed by server %s of %q", pool, id, s.poolOf(id))
		case server != "" && id != server:
			s.report.addViolation("flow moved from server %s to %s", server, id)
		}
		server = id
		s.report.addRequest()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.intN(int(maxPause)))):
		}
	}
	if err := flow.Close(s.router); err != nil {
		s.report.addBrokenFlow("flow to %s on %s could not be closed: %v", pool, server, err)
	}
}

// poolOf returns the pool of the server with an id, or "" if there is none.
func (s *site) poolOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.servers {
		if b.ID == id {
			return b.Pool
		}
	}
	return ""
}

// flowRefused reports whether a daemon resets a new flow to a service.
func flowRefused(c *platform.Caller, daemon, service netip.AddrPort) bool {
	_, err := c.Open(platform.FixedRouter(daemon), service)
	return errors.Is(err, platform.ErrReset)
}

// flowAccepted reports whether a new flow to a service can be opened through a daemon.
func flowAccepted(c *platform.Caller, daemon, service netip.AddrPort) bool {
	_, err := c.Open(platform.FixedRouter(daemon), service)
	return err == nil
}
