package selection

import (
	"math"
	"sync"
	"time"

	"knapweedshore.example/internal/tables"
)

// BoundFactor is how far the load of a server may exceed the mean of its pool
// before new flows pass on to the next server of their rendezvous order.
const BoundFactor = 1.05

// Chooser chooses servers by bounded loads along the rendezvous order of each
// flow, from what this process observes itself. Create it with NewChooser and
// give it the tables with Apply before the first Choose.
//
// A choice does not reserve a place: a server's share of its connection limit
// can be exceeded by as many flows as are being opened concurrently.
type Chooser struct {
	// epoch is what instants are counted from; see at.
	epoch  time.Time
	notify func(Change)

	// applying serialises Apply, which builds the next index without mu.
	applying sync.Mutex

	mu      sync.Mutex
	index   *index
	share   float64
	scratch []*server
	unknown server
}

var _ Policy = (*Chooser)(nil)

// NewChooser returns a Chooser that owns all slots and has no tables. Times
// passed to its methods must not be before now. If notify is set, it is called
// for each ejection, refused ejection and reinstatement, while no lock is held.
func NewChooser(now time.Time, notify func(Change)) *Chooser {
	if notify == nil {
		notify = func(Change) {}
	}
	return &Chooser{
		epoch:  now,
		notify: notify,
		index:  newIndex(nil, nil, 0),
		share:  1,
	}
}

// at converts a time into the instant used by server records.
func (c *Chooser) at(now time.Time) instant { return instant(now.Sub(c.epoch)) }

// Choose returns the server for a new flow: the first one in the flow's
// rendezvous order that is usable and whose load is within the bound, or the
// least loaded usable one. The error is a *RefusalError.
func (c *Chooser) Choose(r Request) (Choice, error) {
	fallback, ok := Default(r.Key, r.Pool)
	if !ok {
		return Choice{}, errNoUsableServer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.at(r.Now)
	records := c.records(r.Pool)
	sum := c.survey(r, records, now)
	switch {
	case sum.usable == 0 && sum.full > 0:
		return Choice{}, errServerLimit
	case sum.usable == 0:
		return Choice{}, errNoUsableServer
	}
	best := c.walk(r, records, sum.bound(), now, fallback)
	return Choice{Server: best, Default: best == fallback}, nil
}

// totals is the state of a pool that one choice is based on.
type totals struct {
	usable, full int
	load, weight float64
}

// bound returns the load for each unit of weight up to which a server takes
// new flows.
func (t totals) bound() float64 {
	return BoundFactor*t.load/t.weight + float64(t.usable)/t.weight
}

// survey sums the loads and the weights of the usable servers.
func (c *Chooser) survey(r Request, records []*server, now instant) totals {
	var t totals
	for i := range r.Pool.Servers {
		s, rec := &r.Pool.Servers[i], records[i]
		switch c.standing(r, s, rec, now) {
		case usable:
			t.usable++
			t.load += rec.load(now)
			t.weight += rec.weight(s, now)
		case full:
			t.full++
		}
	}
	return t
}

// walk returns the usable server within the bound that comes first in the
// flow's rendezvous order: the one with the highest score, so nothing needs to
// be sorted. The default server comes first under DefaultOnly.
func (c *Chooser) walk(r Request, records []*server, bound float64, now instant, fallback *tables.Server) *tables.Server {
	var best, least *tables.Server
	bestScore, leastLoad := 0.0, math.Inf(1)
	for i := range r.Pool.Servers {
		s, rec := &r.Pool.Servers[i], records[i]
		if c.standing(r, s, rec, now) != usable {
			continue
		}
		if r.DefaultOnly && s == fallback {
			return s
		}
		load := rec.load(now) / rec.weight(s, now)
		if load < leastLoad {
			least, leastLoad = s, load
		}
		if load > bound {
			continue
		}
		score := float64(s.Weight) * draw(r.Key, s.ID)
		if best == nil || precedes(score, s.ID, bestScore, best.ID) {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return least
	}
	return best
}

// standing tells whether a server takes a new flow.
type standing int

const (
	unusable standing = iota
	full
	usable
)

func (c *Chooser) standing(r Request, s *tables.Server, rec *server, now instant) standing {
	switch {
	case s.State != tables.Active, rec.ejected(now), r.Avoid != nil && r.Avoid(s):
		return unusable
	case rec.flows >= limitShare(s.Connections, c.share):
		return full
	}
	return usable
}

// limitShare returns this owner's part of a connection limit, at least 1.
func limitShare(connections uint32, share float64) int {
	return max(1, int(float64(connections)*share))
}

// records returns the server records of the pool in the order of its servers.
// A pool of a version that was not applied is looked up server by server.
func (c *Chooser) records(p *tables.Pool) []*server {
	if known, ok := c.index.pools[p]; ok {
		return known.servers
	}
	c.scratch = c.scratch[:0]
	for i := range p.Servers {
		rec := c.index.servers[p.Servers[i].ID].server
		if rec == nil {
			rec = &c.unknown
		}
		c.scratch = append(c.scratch, rec)
	}
	return c.scratch
}

// Opened implements Policy.
func (c *Chooser) Opened(id tables.ServerID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.index.servers[id].server; rec != nil {
		rec.open(c.at(now))
	}
}

// Closed implements Policy.
func (c *Chooser) Closed(id tables.ServerID, _, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.index.servers[id].server; rec != nil {
		rec.close(c.at(now))
	}
}

// SetShare implements Policy.
func (c *Chooser) SetShare(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = fraction
}

// Apply takes over a new version of the tables. Servers that appear are cold,
// except in the first version, where only this process is new; servers that
// vanish are forgotten. The index is built before the lock is taken, so that
// choices wait only for a pointer to change.
func (c *Chooser) Apply(s *tables.Snapshot, now time.Time) {
	c.applying.Lock()
	defer c.applying.Unlock()
	next := newIndex(c.index, s, c.at(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = next
}
