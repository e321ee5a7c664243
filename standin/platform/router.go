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

// Readiness checks of the platform's routers.
const (
	pollInterval = 500 * time.Millisecond
	// readyTimeout is shorter than pollInterval, so that a daemon that does not respond
	// cannot delay the next poll.
	readyTimeout = 400 * time.Millisecond
	// maxMisses is the number of consecutive failed checks that removes a daemon from
	// the rotation.
	maxMisses = 2
)

// Rotation is a Router that picks a random ready daemon for each packet, which is a
// harder case for the daemons than the hashing of the platform's routers.
type Rotation struct {
	client http.Client

	mu      sync.Mutex
	random  *rand.Rand
	targets []*target
}

// target is a daemon with its data and readiness addresses.
type target struct {
	data, ready netip.AddrPort
	// misses counts the consecutive failed readiness checks.
	misses int
}

// NewRotation returns a Rotation without daemons.
func NewRotation(seed uint64) *Rotation {
	return &Rotation{
		random: rand.New(rand.NewPCG(seed, 1)),
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyTimeout},
	}
}

// Add adds a daemon. It gets no packets until a readiness check succeeds.
func (r *Rotation) Add(data, ready netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append(r.targets, &target{data: data, ready: ready, misses: maxMisses})
}

// Pick implements Router. It picks any daemon if none is ready.
func (r *Rotation) Pick() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []netip.AddrPort
	for _, t := range r.targets {
		if t.misses < maxMisses {
			ready = append(ready, t.data)
		}
	}
	if len(ready) == 0 {
		return r.targets[r.random.IntN(len(r.targets))].data
	}
	return ready[r.random.IntN(len(ready))]
}

// InRotation returns the number of daemons in the rotation.
func (r *Rotation) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.targets {
		if t.misses < maxMisses {
			n++
		}
	}
	return n
}

// Poll checks the readiness of all daemons periodically until ctx ends.
func (r *Rotation) Poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		targets := append([]*target(nil), r.targets...)
		r.mu.Unlock()
		var checks conc.WaitGroup
		for _, t := range targets {
			checks.Go(func() { r.update(ctx, t) })
		}
		checks.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update checks the readiness of a daemon and updates its misses.
func (r *Rotation) update(ctx context.Context, t *target) {
	ready := r.queryReady(ctx, t.ready)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		t.misses = 0
	} else {
		t.misses++
	}
}

func (r *Rotation) queryReady(ctx context.Context, addr netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // the body is not read
	return response.StatusCode == http.StatusOK
}
