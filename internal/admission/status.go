package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PoolStatus describes a pool in which routes compete, as this daemon sees it.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Refusing is set while the servers count as busy, so that flows may be refused.
	Refusing   bool    `json:"refusing"`
	InProgress int     `json:"in_progress"`
	Limit      float64 `json:"limit"`
	// Room is the number of requests for which this daemon has room, estimated from its
	// limit.
	Room float64 `json:"room"`
	// Occupancy is the number of requests in progress per slot of the pool, Asked the work
	// asked for here as a multiple of what the daemon's share of the slots can do, and Delay
	// the average latency as a share of the target.
	Occupancy float64       `json:"occupancy"`
	Asked     float64       `json:"asked"`
	Delay     float64       `json:"delay"`
	Routes    []RouteStatus `json:"routes"`
}

// RouteStatus describes a route in a pool. Admitted and Refused count new flows since the
// daemon started.
type RouteStatus struct {
	Route      string `json:"route"`
	Priority   int    `json:"priority"`
	InProgress int    `json:"in_progress"`
	Admitted   int64  `json:"admitted"`
	Refused    int64  `json:"refused"`
}

// Status returns the state of all pools in which routes compete, by name.
func (c *Controller) Status(now time.Time) []PoolStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []PoolStatus
	for name, p := range c.pools {
		limit := p.level * p.share
		s := PoolStatus{
			Pool: name, Refusing: now.Before(p.busyUntil), InProgress: p.inProgress(math.MaxInt, now), Limit: limit,
			Occupancy: p.occupancy, Asked: p.asked.rate(now) / max(1, p.share), Delay: p.delay,
		}
		s.Room = max(0, limit-float64(s.InProgress))
		for route, r := range p.routes {
			s.Routes = append(s.Routes, RouteStatus{Route: route, Priority: r.priority, InProgress: r.requests.total(now, r.target), Admitted: r.admitted, Refused: r.refused})
		}
		slices.SortFunc(s.Routes, func(a, b RouteStatus) int { return cmp.Compare(a.Route, b.Route) })
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
