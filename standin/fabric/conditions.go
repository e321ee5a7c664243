package fabric

import (
	"math/rand/v2"
	"time"
)

// Outside is the zone of hosts that are in none of the site's zones, such as
// callers.
const Outside = ""

// reorderDelay is the extra delay of a packet that is selected for reordering.
// It is long enough that several later packets of a busy flow overtake it.
const reorderDelay = 3 * time.Millisecond

// conditions are the latencies, cuts, losses and reordering that a Fabric
// applies.
type conditions struct {
	rng           *rand.Rand
	latency       map[zonePair]time.Duration
	callerLatency time.Duration
	cut           map[zonePair]bool
	lossShare     float64
	reorderShare  float64
}

// zonePair is an unordered pair of zones.
type zonePair struct{ a, b string }

func newZonePair(a, b string) zonePair {
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

// drawDelay returns the one-way latency between two zones. A random share of the
// packets gets reorderDelay in addition.
func (c *conditions) drawDelay(a, b string) time.Duration {
	d := c.latency[newZonePair(a, b)]
	if a == Outside || b == Outside {
		d = c.callerLatency
	}
	if c.reorderShare > 0 && c.rng.Float64() < c.reorderShare {
		d += reorderDelay
	}
	return d
}

// drawLoss decides at random whether a packet is dropped.
func (c *conditions) drawLoss() bool { return c.lossShare > 0 && c.rng.Float64() < c.lossShare }

// SetLatency sets the one-way latency between two zones, or within a zone if a
// and b are the same.
func (f *Fabric) SetLatency(a, b string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.latency[newZonePair(a, b)] = d
}

// SetCallerLatency sets the one-way latency between hosts in zone Outside and every
// zone.
func (f *Fabric) SetCallerLatency(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.callerLatency = d
}

// SetCut cuts the connection between two zones or restores it. During a cut,
// packets of balancers in one zone for hosts in the other are dropped, and hosts
// are assigned only balancers that their zone can reach.
func (f *Fabric) SetCut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.cut[newZonePair(a, b)] = cut
}

// SetLoss sets the share of packets, from 0 to 1, that are dropped between host
// and balancer, in each direction.
func (f *Fabric) SetLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.lossShare = share
}

// SetReorder sets the share of packets, from 0 to 1, that are delayed so that
// later ones overtake them.
func (f *Fabric) SetReorder(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.reorderShare = share
}
