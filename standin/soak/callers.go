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

// Habits of the callers.
const (
	// patience is how long a caller repeats a packet. A daemon that crashed is out
	// of the rotation after a second; a machine that all daemons have lost is back
	// in a few.
	patience = 5 * time.Second
	// mostRequests on one flow, with pauses of up to mostPause between them: a flow
	// lives through restarts and changes. Every second caller makes one request on a
	// flow, which shows where new flows go.
	mostRequests = 20
	mostPause    = 400 * time.Millisecond
)

// startCallers lets all callers open flows until ctx ends.
func (s *site) startCallers(ctx context.Context) {
	for n := range callers {
		seed := s.config.Seed<<8 + uint64(n)
		s.callers.Go(func() {
			c, err := platform.NewCaller(s.network.Addr(callerGroup, byte(n+1), dataPort), patience)
			if err != nil {
				s.judge.violated("caller %d: %v", n, err)
				return
			}
			defer c.Close()
			random := rand.New(rand.NewPCG(seed, 3))
			for i := 0; ctx.Err() == nil; i++ {
				requests := 1
				if n%2 == 0 {
					requests += random.IntN(mostRequests)
				}
				s.flow(ctx, c, random, fmt.Sprintf("%d.%d", n, i), requests)
			}
		})
	}
}

// flow opens a flow, makes requests on it and closes it.
func (s *site) flow(ctx context.Context, c *platform.Caller, random *rand.Rand, name string, requests int) {
	route := counterRoute
	if random.IntN(3) == 0 {
		route = guideRoute
	}
	what := fmt.Sprintf("flow %s to %s", name, route)
	began := time.Now()
	flow, err := c.Open(s.rotation, routes[route])
	if errors.Is(err, platform.ErrReset) {
		s.judge.violated("%s was refused although its route and servers exist", what)
	}
	served := 0
	var owner *platform.Backend
	for err == nil && served < requests && ctx.Err() == nil {
		request := fmt.Sprintf("%s %s.%d", route, name, served)
		var answer string
		if answer, err = flow.Request(s.rotation, request); err != nil {
			break
		}
		owner = s.judgeAnswer(what, request, answer, owner)
		served++
		wait.For(ctx, time.Duration(random.Int64N(int64(mostPause))))
	}
	if flow != nil && err == nil {
		err = flow.Close(s.rotation)
	}
	s.judgeReset(what, owner, err)
	s.judge.flowEnded(what, began, served, err)
}

// judgeAnswer checks that an answer is whole, the request's own, and from the
// flow's server. It returns that server.
func (s *site) judgeAnswer(what, request, answer string, owner *platform.Backend) *platform.Backend {
	id, body, _ := strings.Cut(answer, " ")
	from := s.backend(id)
	pool, _, _ := strings.Cut(request, " ")
	switch {
	case body != request:
		s.judge.violated("%s: request %q got the answer %q", what, request, answer)
	case from == nil || from.Pool != pool:
		s.judge.violated("%s: request was run by server %s of another service", what, id)
	case owner != nil && from != owner:
		s.judge.violated("%s moved from server %s to %s", what, owner.ID, id)
	}
	return from
}

// judgeReset checks the end of an open flow: no daemon resets it, and its server
// only if that has started anew.
func (s *site) judgeReset(what string, owner *platform.Backend, err error) {
	switch {
	case owner == nil:
	case errors.Is(err, platform.ErrReset):
		s.judge.violated("%s on server %s was reset by a daemon", what, owner.ID)
	case errors.Is(err, platform.ErrServerReset) && s.alive(owner):
		s.judge.violated("%s was reset by another server than %s, which lives", what, owner.ID)
	}
}

// backend returns the server with an id, or nil.
func (s *site) backend(id string) *platform.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range s.servers {
		for _, b := range host.past {
			if b.ID == id {
				return b
			}
		}
	}
	return nil
}

// alive reports whether a server runs and has not been impaired lately.
func (s *site) alive(b *platform.Backend) bool {
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
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	now := time.Now()
	return s.judge.clear(serverNode(index), now.Add(-patience-recoveryTime), now)
}
