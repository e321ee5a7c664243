package selection

import (
	"sync"
	"time"

	"knapweedshore.example/internal/tables"
)

// Bounds on the load of a server. Beyond them, a new flow goes to the next server
// in its rendezvous order.
const (
	// FlowBoundFactor limits the working flows of a server to
	// share * (FlowBoundFactor * working flows of the pool + usable servers), where
	// share is the server's share of the pool; see walker.withinBounds.
	FlowBoundFactor = 1.05
	// BusyBoundFactor limits the utilisation of a server to this multiple of the
	// mean of its pool. In the queueing model of the tests, 49% of the flows leave
	// their default server at 1.05 and 38% at 1.25, with the same imbalance within a
	// minute.
	BusyBoundFactor = 1.25
)

// Chooser is the Policy of the load balancer: rendezvous hashing with bounded
// loads, where the loads are those that this process observes. Create it with
// NewChooser and pass it the tables with Apply before the first Choose.
//
// A choice reserves nothing: flows that are opened concurrently can exceed this
// owner's share of a server's connection limit.
type Chooser struct {
	// epoch is the time that instants are relative to.
	epoch  time.Time
	notify func(HealthChange)

	// applyMu serialises Apply, which builds the next index without holding mu.
	applyMu sync.Mutex

	mu    sync.Mutex
	index *index
	share float64
	// unappliedPool is reused for pools of versions that are not applied, so that
	// Choose does not allocate.
	unappliedPool pool
	// unknownServer stands for servers that are in no applied version.
	unknownServer *server
}

var _ Policy = (*Chooser)(nil)

// NewChooser returns a Chooser without tables whose share is 1. Times passed to
// its methods must not be before now. If notify is not nil, it is called without
// a lock held for each ejection, refused ejection and reinstatement.
func NewChooser(now time.Time, notify func(HealthChange)) *Chooser {
	if notify == nil {
		notify = func(HealthChange) {}
	}
	return &Chooser{
		epoch:         now,
		notify:        notify,
		index:         newIndex(nil, nil, 0),
		share:         1,
		unknownServer: newServer(0, false),
	}
}

// instantOf converts a time into an instant.
func (c *Chooser) instantOf(now time.Time) instant { return instant(now.Sub(c.epoch)) }

// Choose returns the server for a new flow: the first usable server within the
// load bounds in the flow's rendezvous order, whose weights include the learned
// corrections. If no server is within the bounds, it returns the least loaded
// usable one. The error is a *RefusalError.
func (c *Chooser) Choose(r Request) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := walker{request: r, now: c.instantOf(r.Now), share: c.share, pool: c.pool(r.Pool, c.instantOf(r.Now))}
	w.sumLoads()
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

// pool returns the records of the pool. For a pool of a version that is not
// applied it looks up each server; the corrections of such a pool are not tuned.
func (c *Chooser) pool(t *tables.Pool, now instant) *pool {
	if p, ok := c.index.pools[t]; ok {
		return p
	}
	c.unappliedPool.table = t
	c.unappliedPool.servers = c.unappliedPool.servers[:0]
	for i := range t.Servers {
		rec := c.index.servers[t.Servers[i].ID].server
		if rec == nil {
			rec = c.unknownServer
		}
		c.unappliedPool.servers = append(c.unappliedPool.servers, rec)
	}
	c.unappliedPool.updateUtilisations(now)
	c.unappliedPool.tunedAt = now
	return &c.unappliedPool
}

// Opened implements Policy.
func (c *Chooser) Opened(id tables.ServerID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.open(c.instantOf(now))
		e.pool.opened++
	}
}

// Paused implements Policy.
func (c *Chooser) Paused(id tables.ServerID, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.pause(c.instantOf(since))
	}
}

// Resumed implements Policy.
func (c *Chooser) Resumed(id tables.ServerID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.resume(c.instantOf(now))
	}
}

// Closed implements Policy.
func (c *Chooser) Closed(id tables.ServerID, _, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.index.servers[id]; ok {
		e.server.close(c.instantOf(ended))
	}
}

// Answered implements Policy. It resets the server's consecutive failures. The
// delay is not used: the first response of a TCP flow is the kernel's SYN-ACK and
// says nothing about the server's speed, which the busy time shows instead.
func (c *Chooser) Answered(id tables.ServerID, _ time.Duration, now time.Time) {
	c.mu.Lock()
	e, ok := c.index.servers[id]
	reinstated := ok && e.server.recordResponse(c.instantOf(now))
	c.mu.Unlock()
	if reinstated {
		c.notify(HealthChange{Kind: Reinstated, Server: id, Pool: e.pool.table.Name})
	}
}

// SetShare implements Policy.
func (c *Chooser) SetShare(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = fraction
}

// Apply switches to a new version of the tables. Added servers begin a slow
// start, except in the first version; the records of removed servers are dropped.
// The index is built without holding the lock, so that Choose waits only for the
// switch. Call Apply with a version before the first Choose with its pools.
func (c *Chooser) Apply(s *tables.Snapshot, now time.Time) {
	pools := make([]*tables.Pool, len(s.Pools()))
	for i := range pools {
		pools[i] = &s.Pools()[i]
	}
	c.applyPools(pools, now)
}

func (c *Chooser) applyPools(pools []*tables.Pool, now time.Time) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	next := newIndex(c.index, pools, c.instantOf(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	next.copyObservations(c.index)
	c.index = next
}
