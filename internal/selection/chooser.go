package selection

import (
	"sync"
	"time"

	"knapweedshore.example/internal/tables"
)

// Bounds beyond which new flows pass on to the next server of their order.
const (
	// FlowBoundFactor is how far the open flows of a server may exceed its part of
	// all open flows of its pool; one flow is added to the bound.
	FlowBoundFactor = 1.05
	// BusyBoundFactor is how far the decaying busy time for each slot of a
	// server may exceed the mean of its pool. In the queueing model 49% of flows
	// leave their default server at 1.05 and 38% at 1.25, and the imbalance
	// within a minute is the same.
	BusyBoundFactor = 1.25
)

// Chooser chooses servers by bounded loads along the rendezvous order of each
// flow, from what this process observes itself. Create it with NewChooser and
// give it the tables with Apply before the first Choose.
//
// A choice does not reserve a place: a server's share of its connection limit
// can be exceeded by as many flows as are being opened concurrently.
type Chooser struct {
	// epoch is what instants are counted from; see at.
	epoch  time.Time
	notify func(HealthChange)

	// applying serialises Apply, which builds the next index without mu.
	applying sync.Mutex

	mu    sync.Mutex
	index *index
	share float64
	// unapplied is reused for pools of versions that were not applied.
	unapplied pool
	unknown   *server
}

var _ Policy = (*Chooser)(nil)

// NewChooser returns a Chooser that owns all slots and has no tables. Times
// passed to its methods must not be before now. If notify is set, it is called
// for each ejection, refused ejection and reinstatement, while no lock is held.
func NewChooser(now time.Time, notify func(HealthChange)) *Chooser {
	if notify == nil {
		notify = func(HealthChange) {}
	}
	return &Chooser{
		epoch:   now,
		notify:  notify,
		index:   newIndex(nil, nil, 0),
		share:   1,
		unknown: newServer(0, false),
	}
}

// at converts a time into the instant used by server records.
func (c *Chooser) at(now time.Time) instant { return instant(now.Sub(c.epoch)) }

// Choose returns the server for a new flow: the first one in the flow's
// rendezvous order, with the learned corrections, that is usable and whose load
// is within the bounds, or the least loaded usable one. The error is a
// *RefusalError.
func (c *Chooser) Choose(r Request) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := walk{request: r, now: c.at(r.Now), share: c.share, pool: c.pool(r.Pool, c.at(r.Now))}
	w.survey()
	if w.usable > 0 {
		if choice, ok := w.choose(); ok {
			return choice, nil
		}
	}
	if w.full > 0 {
		return Choice{}, errServerLimit
	}
	return Choice{}, errNoUsableServer
}

// pool returns the records of the pool. A pool of a version that was not
// applied is looked up server by server; its corrections are left alone.
func (c *Chooser) pool(t *tables.Pool, now instant) *pool {
	if known, ok := c.index.pools[t]; ok {
		return known
	}
	c.unapplied.table = t
	c.unapplied.servers = c.unapplied.servers[:0]
	for i := range t.Servers {
		rec := c.index.servers[t.Servers[i].ID].server
		if rec == nil {
			rec = c.unknown
		}
		c.unapplied.servers = append(c.unapplied.servers, rec)
	}
	c.unapplied.measure(now)
	c.unapplied.tunedAt = now
	return &c.unapplied
}

// Opened implements Policy.
func (c *Chooser) Opened(id tables.ServerID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.open(c.at(now))
		e.pool.opened++
	}
}

// Paused implements Policy.
func (c *Chooser) Paused(id tables.ServerID, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.pause(c.at(since))
	}
}

// Resumed implements Policy.
func (c *Chooser) Resumed(id tables.ServerID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.resume(c.at(now))
	}
}

// Closed implements Policy.
func (c *Chooser) Closed(id tables.ServerID, _, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.close(c.at(ended))
	}
}

// Answered implements Policy: it ends the server's failures in a row. The delay
// is not used, because the first response of a TCP flow is the kernel's SYN-ACK
// and tells nothing of the server's speed; the busy time does.
func (c *Chooser) Answered(id tables.ServerID, _ time.Duration, now time.Time) {
	c.mu.Lock()
	e, ok := c.index.servers[id]
	back := ok && e.server.answered(c.at(now))
	c.mu.Unlock()
	if back {
		c.notify(HealthChange{Kind: Reinstated, Server: id, Pool: e.pool.table.Name})
	}
}

// SetShare implements Policy.
func (c *Chooser) SetShare(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = fraction
}

// Apply takes over a new version of the tables. Servers that appear are cold,
// except in the first version; servers that vanish are forgotten. The index is
// built before the lock is taken, so that choices wait only for the
// change of indexes. Apply a version before the first Choose with its pools.
func (c *Chooser) Apply(s *tables.Snapshot, now time.Time) {
	pools := make([]*tables.Pool, len(s.Pools()))
	for i := range pools {
		pools[i] = &s.Pools()[i]
	}
	c.applyPools(pools, now)
}

func (c *Chooser) applyPools(pools []*tables.Pool, now time.Time) {
	c.applying.Lock()
	defer c.applying.Unlock()
	next := newIndex(c.index, pools, c.at(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	next.inherit(c.index)
	c.index = next
}
