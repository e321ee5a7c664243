package selection

import (
	"time"

	"knapweedshore.example/internal/tables"
)

// Ejection of failing servers.
const (
	// FailuresToEject is the number of consecutive failures that eject a server.
	FailuresToEject = 5
	// InitialEjection is the duration of the first ejection of a server. Each
	// further ejection lasts twice as long as the previous one.
	InitialEjection = 10 * time.Second
	// MaxEjection is the maximum duration of an ejection.
	MaxEjection = 5 * time.Minute
)

// HealthChangeKind is the kind of a HealthChange.
type HealthChangeKind int

// Kinds of HealthChange.
const (
	// Ejected: the server gets no new flows for the Duration of the change.
	Ejected HealthChangeKind = iota + 1
	// EjectionRefused: the server failed but stays in use, because its ejection
	// would exceed half of the pool's active servers.
	EjectionRefused
	// Reinstated: the server has responded for the first time after an ejection.
	Reinstated
)

// HealthChange reports an ejection, a refused ejection or a reinstatement.
type HealthChange struct {
	Kind   HealthChangeKind
	Server tables.ServerID
	Pool   string
	// Duration is how long the ejection lasts. It is 0 for the other kinds.
	Duration time.Duration
}

// health is the ejection state of a server.
type health struct {
	// failures is the number of consecutive failures.
	failures     int
	ejectedUntil instant
	// ejectedFor is the duration of the last ejection. It is 0 when the next one
	// is to last InitialEjection.
	ejectedFor time.Duration
	// reinstatementPending is true from an ejection to the first response after it.
	reinstatementPending bool
}

func (h *health) ejected(now instant) bool { return now < h.ejectedUntil }

// recordResponse resets the consecutive failures. A response that comes at least
// as long after the end of an ejection as the ejection lasted also resets the
// duration of the next ejection to InitialEjection. It reports whether this is
// the first response after an ejection.
func (h *health) recordResponse(now instant) (reinstated bool) {
	h.failures = 0
	if h.ejected(now) {
		return false
	}
	if now >= h.ejectedUntil+instant(h.ejectedFor) {
		h.ejectedFor = 0
	}
	reinstated, h.reinstatementPending = h.reinstatementPending, false
	return reinstated
}

// eject starts an ejection and returns its duration, twice that of the last one.
func (r *server) eject(now instant) time.Duration {
	r.ejectedFor = min(MaxEjection, max(InitialEjection, 2*r.ejectedFor))
	r.ejectedUntil = now + instant(r.ejectedFor)
	r.slowStartBegan = r.ejectedUntil
	r.failures = 0
	r.reinstatementPending = true
	return r.ejectedFor
}

// Failed implements Policy. FailuresToEject consecutive failures eject the
// server, unless more than half of its pool's active servers would be ejected.
func (c *Chooser) Failed(id tables.ServerID, now time.Time) {
	if change, ok := c.recordFailure(id, c.instantOf(now)); ok {
		c.notify(change)
	}
}

func (c *Chooser) recordFailure(id tables.ServerID, now instant) (HealthChange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.index.servers[id]
	if e.server == nil || e.server.ejected(now) {
		return HealthChange{}, false
	}
	e.server.failures++
	if e.server.failures < FailuresToEject {
		return HealthChange{}, false
	}
	if !e.pool.canEject(now) {
		e.server.failures = 0
		return HealthChange{Kind: EjectionRefused, Server: id, Pool: e.pool.table.Name}, true
	}
	return HealthChange{Kind: Ejected, Server: id, Pool: e.pool.table.Name, Duration: e.server.eject(now)}, true
}

// canEject reports whether at least half of the active servers would stay in use
// after one more ejection.
func (p *pool) canEject(now instant) bool {
	active, ejected := 0, 0
	for i, rec := range p.servers {
		if p.table.Servers[i].State != tables.Active {
			continue
		}
		active++
		if rec.ejected(now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= active
}

// Ejected implements Policy.
func (c *Chooser) Ejected(id tables.ServerID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.index.servers[id].server
	return rec != nil && rec.ejected(c.instantOf(now))
}
