package pause

import (
	"sync"
	"sync/atomic"
	"time"
)

// drainTime is the time after a pause within which a process reads what has waited in its
// sockets.
const drainTime = 500 * time.Millisecond

// Pause is a time in which the process did not run. A forward step of the wall clock looks
// like a pause that the monotonic clock did not count.
type Pause struct {
	End    time.Time
	Length time.Duration
	// Uncounted is the part of Length that the monotonic clock did not count, because the
	// VM was suspended. Times from before the pause appear to be later by it.
	Uncounted time.Duration
}

// Monitor remembers the last pause of a process that is longer than a minimum. It is safe
// for concurrent use.
type Monitor struct {
	detector  *Detector
	minLength time.Duration
	mu        sync.Mutex // orders records
	last      atomic.Pointer[Pause]
}

// NewMonitor returns a Monitor that is first ticked at now.
func NewMonitor(now time.Time, minLength time.Duration) *Monitor {
	return &Monitor{detector: New(now), minLength: minLength}
}

// Tick records that the process runs at now and returns the last pause, or nil. The first
// goroutine that runs after a pause detects it. While the process has nothing to do, it must
// be called more often than the minimum length of a pause.
func (m *Monitor) Tick(now time.Time) *Pause {
	if m.detector.Gap(now) > m.minLength {
		m.record(now)
	}
	m.detector.Mark(now)
	return m.last.Load()
}

// record stores the pause that ends at now unless another goroutine has done so.
func (m *Monitor) record(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mono, wall := m.detector.gaps(now)
	if length := max(mono, wall); length > m.minLength {
		m.last.Store(&Pause{End: now, Length: length, Uncounted: max(0, wall-mono)})
		m.detector.Mark(now)
	}
}

// MaxWait returns for how long a message that is read now may have waited in a socket because
// of a pause.
func (m *Monitor) MaxWait(now time.Time) time.Duration {
	if p := m.Tick(now); p != nil && now.Sub(p.End) < drainTime {
		return p.Length
	}
	return 0
}
