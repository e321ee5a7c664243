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

// Mark records that the loop runs at now. It does nothing if a later time is marked.
func (d *Detector) Mark(now time.Time) {
	mono := int64(now.Sub(d.base))
	if mono < d.mono.Load() {
		return
	}
	d.mono.Store(mono)
	d.wall.Store(now.UnixNano())
}

// Gap returns the time since the last Mark, by the clock that advanced further.
func (d *Detector) Gap(now time.Time) time.Duration {
	mono, wall := d.gaps(now)
	return max(mono, wall)
}

// gaps returns the time since the last Mark by the monotonic and by the wall clock.
func (d *Detector) gaps(now time.Time) (mono, wall time.Duration) {
	return time.Duration(int64(now.Sub(d.base)) - d.mono.Load()), time.Duration(now.UnixNano() - d.wall.Load())
}
