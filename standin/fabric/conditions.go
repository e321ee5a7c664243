package fabric

import (
	"math/rand/v2"
	"time"
)

// Outside is the zone of callers.
const Outside = ""

// reorderDelay is the extra delay of a packet that is picked for reordering;
// several packets of a busy flow overtake it.
const reorderDelay = 3 * time.Millisecond

// conditions are the network's latencies, cuts and faults.
type conditions struct {
	rng     *rand.Rand
	latency map[zonePair]time.Duration
	outside time.Duration
	cut     map[zonePair]bool
	loss    float64
	reorder float64
}

type zonePair struct{ a, b string }

func pairOf(a, b string) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a: a, b: b}
}

func newConditions(seed uint64) conditions {
	return conditions{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		latency: make(map[zonePair]time.Duration),
		cut:     make(map[zonePair]bool),
	}
}

// delay returns the one-way latency between two zones, with the extra delay
// of a packet that is picked for reordering.
func (c *conditions) delay(a, b string) time.Duration {
	d := c.latency[pairOf(a, b)]
	if a == Outside || b == Outside {
		d = c.outside
	}
	if c.reorder > 0 && c.rng.Float64() < c.reorder {
		d += reorderDelay
	}
	return d
}

func (c *conditions) lost() bool { return c.loss > 0 && c.rng.Float64() < c.loss }

// SetLatency sets the one-way latency between two zones, or within one.
func (f *Fabric) SetLatency(a, b string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.net.latency[pairOf(a, b)] = d
}

// SetCallerLatency sets the one-way latency between callers and every zone.
func (f *Fabric) SetCallerLatency(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.net.outside = d
}

// SetCut cuts two zones from each other, or joins them again. Packets between
// hosts of one zone and balancers of the other are then lost; the network
// chooses only balancers that the sender's zone can reach.
func (f *Fabric) SetCut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.net.cut[pairOf(a, b)] = cut
}

// SetLoss sets the share of packets that are lost on each way through the
// fabric.
func (f *Fabric) SetLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.net.loss = share
}

// SetReorder sets the share of packets that are delayed so that later ones
// overtake them.
func (f *Fabric) SetReorder(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.net.reorder = share
}
