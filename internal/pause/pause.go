// Package pause detects that a process did not run for a while, because it was
// frozen or its VM was suspended.
package pause

import (
	"sync/atomic"
	"time"
)

// Detector records when a loop last ran, by the monotonic and by the wall clock: a
// suspended VM may stop the monotonic clock. It is safe for concurrent use.
type Detector struct {
	base time.Time
	mono atomic.Int64
	wall atomic.Int64
}

// New returns a Detector that is marked at now.
func New(now time.Time) *Detector {
	d := &Detector{base: now}
	d.Mark(now)
	return d
}

// Mark records that the loop runs at now.
func (d *Detector) Mark(now time.Time) {
	d.mono.Store(int64(now.Sub(d.base)))
	d.wall.Store(now.UnixNano())
}

// Gap returns the time since the last Mark, by the clock that advanced further.
func (d *Detector) Gap(now time.Time) time.Duration {
	mono := int64(now.Sub(d.base)) - d.mono.Load()
	wall := now.UnixNano() - d.wall.Load()
	return time.Duration(max(mono, wall))
}
