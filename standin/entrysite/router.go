package entrysite

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Times of the platform's routers.
const (
	pollInterval = 500 * time.Millisecond
	// missesAllowed in a row take a daemon out of the rotation.
	missesAllowed = 2
)

// router spreads the packets over the daemons in rotation. It draws a daemon for
// each packet, which is harder on the daemons than the platform's hashing.
type router struct {
	client http.Client

	mu      sync.Mutex
	random  *rand.Rand
	targets []*target
}

type target struct {
	data, ready netip.AddrPort
	misses      int
}

func newRouter(seed uint64) *router {
	return &router{
		random: rand.New(rand.NewPCG(seed, 1)),
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: pollInterval},
	}
}

func (r *router) add(data, ready netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append(r.targets, &target{data: data, ready: ready, misses: missesAllowed})
}

// Pick implements platform.Router.
func (r *router) Pick() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []netip.AddrPort
	for _, t := range r.targets {
		if t.misses < missesAllowed {
			in = append(in, t.data)
		}
	}
	if len(in) == 0 {
		return r.targets[r.random.IntN(len(r.targets))].data
	}
	return in[r.random.IntN(len(in))]
}

func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.targets {
		if t.misses < missesAllowed {
			n++
		}
	}
	return n
}

// poll asks all daemons whether they are ready until ctx ends.
func (r *router) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		targets := append([]*target(nil), r.targets...)
		r.mu.Unlock()
		for _, t := range targets {
			ready := r.ready(ctx, t.ready)
			r.mu.Lock()
			if ready {
				t.misses = 0
			} else {
				t.misses++
			}
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *router) ready(ctx context.Context, a netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // only the status counts
	return response.StatusCode == http.StatusOK
}
