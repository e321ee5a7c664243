package member

import (
	"sync/atomic"
	"time"
)

const (
	// PauseLimit is the longest gap of the table's loop after which the
	// daemon keeps its standing. It equals the silence after which peers
	// suspect a member; they give its slots away only 750 ms later.
	PauseLimit = time.Second
	// IsolationWait is how long a daemon without standing waits for a peer.
	// If no peer was heard during this time it decides alone, because callers
	// can then reach no other member through it.
	IsolationWait = 2 * time.Second
)

// clock remembers when the table's loop last ran, by the monotonic and by the
// wall clock: a suspended VM may stop the monotonic one.
type clock struct {
	base time.Time
	mono atomic.Int64
	wall atomic.Int64
}

func newClock(now time.Time) *clock {
	c := &clock{base: now}
	c.set(now)
	return c
}

func (c *clock) set(now time.Time) {
	c.mono.Store(int64(now.Sub(c.base)))
	c.wall.Store(now.UnixNano())
}

// gap returns the time since set, by the clock that advanced more.
func (c *clock) gap(now time.Time) time.Duration {
	mono := int64(now.Sub(c.base)) - c.mono.Load()
	wall := now.UnixNano() - c.wall.Load()
	return time.Duration(max(mono, wall))
}

// standing is the right to decide about flows.
type standing struct {
	held      bool
	missing   time.Time // start of the wait for a peer
	lastHeard time.Time // last message of any peer
}

// isolated reports whether the wait for a peer has been in vain.
func (s *standing) isolated(now time.Time) bool {
	return now.Sub(s.missing) >= IsolationWait && now.Sub(s.lastHeard) >= IsolationWait
}
