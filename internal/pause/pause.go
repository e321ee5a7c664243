// Package pause notices that a process has not run for a while: it was frozen, or
// its VM was suspended.
package pause

import (
	"sync/atomic"
	"time"
)

// Detector remembers when a loop last ran, by the monotonic and by the wall clock: a
// suspended VM may stop the monotonic one. It is safe for concurrent use.
type Detector struct {
	base time.Time
	mono atomic.Int64
	wall atomic.Int64
}

// NewDetector returns a Clock of a loop that runs now.
func NewDetector(now time.Time) *Detector {
	c := &Detector{base: now}
	c.Mark(now)
	return c
}

// Mark notes that the loop runs.
func (c *Detector) Mark(now time.Time) {
	c.mono.Store(int64(now.Sub(c.base)))
	c.wall.Store(now.UnixNano())
}

// Gap returns the time since Set, by the clock that advanced more.
func (c *Detector) Gap(now time.Time) time.Duration {
	mono := int64(now.Sub(c.base)) - c.mono.Load()
	wall := now.UnixNano() - c.wall.Load()
	return time.Duration(max(mono, wall))
}
