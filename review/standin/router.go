package standin

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Readiness checks of the routers.
const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	maxMisses     = 2
)

// Router selects a daemon by a hash of the flow, as with the setting "steady": only the
// flows of a daemon that leaves or joins the rotation move. It stands for the routers of
// one zone.
type Router struct {
	record *Record
	client http.Client
	done   chan struct{}

	mu      sync.Mutex
	daemons []*routedDaemon
}

type routedDaemon struct {
	data, ready netip.AddrPort
	misses      int
}

// NewRouter returns a router without daemons and starts its readiness checks.
func NewRouter(r *Record) *Router {
	t := &Router{record: r, client: http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, done: make(chan struct{})}
	go t.check()
	return t
}

// Add adds a daemon, which is out of rotation until it is ready.
func (t *Router) Add(data, ready netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.daemons = append(t.daemons, &routedDaemon{data: data, ready: ready, misses: maxMisses})
}

// Close ends the checks.
func (t *Router) Close() { close(t.done) }

func (t *Router) check() {
	for {
		t.mu.Lock()
		daemons := append([]*routedDaemon(nil), t.daemons...)
		t.mu.Unlock()
		for _, d := range daemons {
			go t.checkOne(d)
		}
		select {
		case <-t.done:
			return
		case <-time.After(checkInterval):
		}
	}
}

func (t *Router) checkOne(d *routedDaemon) {
	response, err := t.client.Get("http://" + d.ready.String() + "/ready")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := d.misses < maxMisses
	if ok {
		d.misses = 0
	} else {
		d.misses++
	}
	if now := d.misses < maxMisses; now != before {
		t.record.Add("router: daemon %s in rotation: %v", d.data, now)
	}
}

// Ready returns the number of daemons in rotation.
func (t *Router) Ready() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, d := range t.daemons {
		if d.misses < maxMisses {
			n++
		}
	}
	return n
}

// Pick returns the daemon in rotation with the highest hash. If fewer than half are in
// rotation, all count.
func (t *Router) Pick(consumer, service netip.AddrPort) netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	inRotation := 0
	for _, d := range t.daemons {
		if d.misses < maxMisses {
			inRotation++
		}
	}
	all := 2*inRotation < len(t.daemons)
	var best netip.AddrPort
	bestHash := uint64(0)
	for _, d := range t.daemons {
		if !all && d.misses >= maxMisses {
			continue
		}
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, consumer, service, d.data)
		if v := mix(h.Sum64()); !best.IsValid() || v > bestHash {
			best, bestHash = d.data, v
		}
	}
	return best
}

// mix spreads the bits of a hash.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	return v
}

// Direct is a Picker that sends all packets to one daemon, as the flows that test which
// configuration a daemon has.
type Direct netip.AddrPort

// Pick implements Picker.
func (d Direct) Pick(_, _ netip.AddrPort) netip.AddrPort { return netip.AddrPort(d) }
