package admission

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// maxDelay limits the weight of one late answer in the average.
const maxDelay = 2

// Demand is the request in progress of one flow, if there is one. A first request counts
// from the opening packet on.
type Demand struct {
	route   *directory.Route
	pool    string
	begunAt time.Time
}

// Begin records that a request of a route to a pool begins, unless one is in progress.
func (c *Controller) Begin(d *Demand, route *directory.Route, poolName string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[poolName]
	if d.route != nil || p == nil || route == nil || route.TargetLatency <= 0 {
		return
	}
	*d = Demand{route: route, pool: poolName, begunAt: now}
	r := p.route(route)
	if r.askedAt != now { // a further request of an open flow
		p.asked.add(r.serviceTime, now)
	}
	r.averageAt(now)
	r.requests.add(1, now, r.target)
}

// Abandon records that the request in progress, if there is one, gets no answer.
func (c *Controller) Abandon(d *Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(d)
}

// End records that the request in progress, if there is one, was answered.
func (c *Controller) End(d *Demand, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	route, begunAt := d.route, d.begunAt
	if p := c.end(d); p != nil {
		sample := min(maxDelay, now.Sub(begunAt).Seconds()/route.TargetLatency.Seconds())
		p.delay += delayGain * (sample - p.delay)
		if r := p.route(route); p.occupancy < fullLevel || r.serviceTime == 0 {
			r.learn(now.Sub(begunAt).Seconds())
		}
		p.delayAt = now
	}
}

// end ends the request in progress and returns its pool, or nil. c.mu must be held.
func (c *Controller) end(d *Demand) *pool {
	ended, p := *d, c.pools[d.pool]
	*d = Demand{}
	if ended.route == nil || p == nil {
		return nil
	}
	if r := p.routes[ended.route.Name]; r != nil {
		r.requests.add(-1, ended.begunAt, r.target)
	}
	return p
}
