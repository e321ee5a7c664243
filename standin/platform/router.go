package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Times of the platform's routers.
const (
	pollInterval = 500 * time.Millisecond
	// readyTimeout keeps a daemon that does not answer from delaying the next poll.
	readyTimeout = 400 * time.Millisecond
	// missesAllowed in a row take a daemon out of the rotation.
	missesAllowed = 2
)

// Rotation is a Router that spreads the packets over the daemons that are ready.
// It draws a daemon for each packet, which is harder on the daemons than the
// platform's hashing.
type Rotation struct {
	client http.Client

	mu      sync.Mutex
	random  *rand.Rand
	targets []*target
}

type target struct {
	data, ready netip.AddrPort
	misses      int
}

// NewRotation returns a Rotation without daemons.
func NewRotation(seed uint64) *Rotation {
	return &Rotation{
		random: rand.New(rand.NewPCG(seed, 1)),
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyTimeout},
	}
}

// Add makes a daemon known, which is out of the rotation until it is ready.
func (r *Rotation) Add(data, ready netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append(r.targets, &target{data: data, ready: ready, misses: missesAllowed})
}

// Pick implements platform.Router.
func (r *Rotation) Pick() netip.AddrPort {
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

// InRotation returns how many daemons get packets.
func (r *Rotation) InRotation() int {
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

// Poll asks all daemons whether they are ready until ctx ends.
func (r *Rotation) Poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		targets := append([]*target(nil), r.targets...)
		r.mu.Unlock()
		var asking conc.WaitGroup
		for _, t := range targets {
			asking.Go(func() { r.ask(ctx, t) })
		}
		asking.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Rotation) ask(ctx context.Context, t *target) {
	ready := r.ready(ctx, t.ready)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		t.misses = 0
	} else {
		t.misses++
	}
}

func (r *Rotation) ready(ctx context.Context, a netip.AddrPort) bool {
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
