package selection

import (
	"time"

	"knapweedshore.example/internal/tables"
)

// Constants of ejection.
const (
	// FailuresToEject is the number of failures in a row that eject a server.
	FailuresToEject = 5
	// InitialEjection is the length of a first ejection; it doubles each time.
	InitialEjection = 10 * time.Second
	// MaxEjection bounds the doubling.
	MaxEjection = 5 * time.Minute
)

// HealthChangeKind tells what happened to a server.
type HealthChangeKind int

// Kinds of Change.
const (
	// Ejected servers take no new flows for a while.
	Ejected HealthChangeKind = iota + 1
	// EjectionRefused servers stay, because half of the pool is ejected.
	EjectionRefused
	// Reinstated servers have answered after an ejection.
	Reinstated
)

// HealthChange reports an ejection or its end.
type HealthChange struct {
	Kind   HealthChangeKind
	Server tables.ServerID
	Pool   string
	// Duration is the length of the ejection.
	Duration time.Duration
}

// health is the ejection state of a server.
type health struct {
	failures     int
	ejectedUntil instant
	// ejectedFor is the length of the last ejection, 0 once the server has
	// proved itself again.
	ejectedFor time.Duration
	// awaited is set from an ejection to the first response after it.
	awaited bool
}

func (h *health) ejected(now instant) bool { return now < h.ejectedUntil }

// answered resets the failures. The next ejection starts at FirstEjection again
// when the server has answered for as long as it was ejected. It reports the
// first response after an ejection.
func (h *health) answered(now instant) (back bool) {
	h.failures = 0
	if h.ejected(now) {
		return false
	}
	if now >= h.ejectedUntil+instant(h.ejectedFor) {
		h.ejectedFor = 0
	}
	back, h.awaited = h.awaited, false
	return back
}

// eject starts an ejection, twice as long as the last one.
func (r *server) eject(now instant) time.Duration {
	r.ejectedFor = min(MaxEjection, max(InitialEjection, 2*r.ejectedFor))
	r.ejectedUntil = now + instant(r.ejectedFor)
	r.coldSince = r.ejectedUntil
	r.failures = 0
	r.awaited = true
	return r.ejectedFor
}

// Failed implements Policy: FailuresToEject failures in a row eject the server,
// unless half of its pool's active servers would be exceeded.
func (c *Chooser) Failed(id tables.ServerID, now time.Time) {
	if change, ok := c.failed(id, c.at(now)); ok {
		c.notify(change)
	}
}

func (c *Chooser) failed(id tables.ServerID, now instant) (HealthChange, bool) {
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
	if !e.pool.mayEject(now) {
		e.server.failures = 0
		return HealthChange{Kind: EjectionRefused, Server: id, Pool: e.pool.table.Name}, true
	}
	return HealthChange{Kind: Ejected, Server: id, Pool: e.pool.table.Name, Duration: e.server.eject(now)}, true
}

// mayEject reports whether one more ejection leaves half of the active servers.
func (p *pool) mayEject(now instant) bool {
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
	return rec != nil && rec.ejected(c.at(now))
}
