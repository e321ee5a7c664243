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

// Times of the callers.
const (
	// flowPatience is how long a caller repeats a packet before it gives up; a
	// daemon that crashed is out of the rotation after a second.
	flowPatience = 5 * time.Second
	// mostRequests on one flow, with pauses of up to mostPause between them.
	mostRequests = 12
	mostPause    = 200 * time.Millisecond
)

// startCallers lets all callers open flows until ctx ends.
func (s *site) startCallers(ctx context.Context) (*sync.WaitGroup, error) {
	var group sync.WaitGroup
	for n := range callers {
		c, err := platform.NewCaller(s.addr(callerGroup, byte(n+1), dataPort), flowPatience)
		if err != nil {
			return nil, err
		}
		seed := s.random.Uint64()
		group.Go(func() {
			defer c.Close()
			draw := newDraw(seed)
			for ctx.Err() == nil {
				s.oneFlow(ctx, c, draw)
			}
		})
	}
	return &group, nil
}

// oneFlow opens a flow, makes some requests on it and closes it.
func (s *site) oneFlow(ctx context.Context, c *platform.Caller, draw draw) {
	service, pool := counterAddr, counterPool
	if draw.below(3) == 0 {
		service, pool = guideAddr, guidePool
	}
	flow, err := c.Open(s.router, service)
	if err != nil {
		s.report.broken("flow to %s could not be opened: %v", pool, err)
		return
	}
	server := ""
	for i := range 1 + draw.below(mostRequests) {
		request := fmt.Sprintf("%s %d %d", pool, draw.below(1<<30), i)
		answer, err := flow.Request(s.router, request)
		if err != nil {
			s.report.broken("flow to %s on %s broke at request %d: %v", pool, server, i, err)
			return
		}
		id, body, _ := strings.Cut(answer, " ")
		switch {
		case body != request:
			s.report.violated("request %q got the answer %q", request, answer)
		case s.poolOf(id) != pool:
			s.report.violated("request for %s was run by server %s of %q", pool, id, s.poolOf(id))
		case server != "" && id != server:
			s.report.violated("flow moved from server %s to %s", server, id)
		}
		server = id
		s.report.served()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(draw.below(int(mostPause)))):
		}
	}
	if err := flow.Close(s.router); err != nil {
		s.report.broken("flow to %s on %s did not end: %v", pool, server, err)
	}
}

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

// refused reports whether a daemon resets a flow to an address.
func refused(c *platform.Caller, daemon, service netip.AddrPort) bool {
	_, err := c.Open(platform.FixedRouter(daemon), service)
	return errors.Is(err, platform.ErrReset)
}

// accepted reports whether a daemon opens a flow to an address.
func accepted(c *platform.Caller, daemon, service netip.AddrPort) bool {
	_, err := c.Open(platform.FixedRouter(daemon), service)
	return err == nil
}
