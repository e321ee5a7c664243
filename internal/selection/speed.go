package selection

import (
	"math"
	"slices"
	"time"

	"knapweedshore.example/internal/tables"
)

const (
	// DelayDecay is the time constant of the decaying mean response time.
	DelayDecay = 10 * time.Second
	// MaxSpeed bounds the learned speed to 1/MaxSpeed … MaxSpeed.
	MaxSpeed = 4
)

// speed is the learned speed of a server, relative to its pool.
type speed struct {
	// sum and count decay together; their quotient is the mean delay.
	sum, count float64
	at         instant
	relative   float64
}

// factor returns the learned speed, 1 until something is learned.
func (v *speed) factor() float64 {
	if v.relative == 0 {
		return 1
	}
	return v.relative
}

// observe adds one response time.
func (v *speed) observe(delay time.Duration, now instant) {
	kept := math.Exp(-float64(max(0, now-v.at)) / float64(DelayDecay))
	v.sum = v.sum*kept + float64(delay)
	v.count = v.count*kept + 1
	v.at = max(v.at, now)
}

// mean returns the decaying mean response time, or 0 if there is none.
func (v *speed) mean() float64 {
	if v.count == 0 {
		return 0
	}
	return v.sum / v.count
}

// Answered implements Policy: it resets the failures of the server and learns
// its speed, relative to the median of the pool.
func (c *Chooser) Answered(id tables.ServerID, delay time.Duration, now time.Time) {
	c.mu.Lock()
	e := c.index.servers[id]
	if e.server == nil {
		c.mu.Unlock()
		return
	}
	at := c.at(now)
	e.server.speed.observe(delay, at)
	if median := e.pool.medianDelay(); median > 0 && delay > 0 {
		e.server.speed.relative = min(MaxSpeed, max(1./MaxSpeed, median/e.server.speed.mean()))
	}
	back := e.server.answered(at)
	c.mu.Unlock()
	if back {
		c.notify(Change{Kind: Reinstated, Server: id, Pool: e.pool.table.Name})
	}
}

// medianDelay returns the median of the servers' mean response times.
func (p *pool) medianDelay() float64 {
	p.delays = p.delays[:0]
	for _, rec := range p.servers {
		if m := rec.speed.mean(); m > 0 {
			p.delays = append(p.delays, m)
		}
	}
	if len(p.delays) == 0 {
		return 0
	}
	slices.Sort(p.delays)
	return p.delays[len(p.delays)/2]
}
