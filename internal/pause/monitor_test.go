package pause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pause that is missed, counted twice, or taken for one of a process that
// only had nothing to do.
func TestMonitorRemembersTheLastPause(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := NewMonitor(now, time.Second)
	for range 5 {
		now = now.Add(time.Second)
		is.True(m.Tick(now) == nil)
	}
	before := now
	now = now.Add(4 * time.Second)
	p := m.Tick(now)
	is.Equal(*p, Pause{End: now, Length: 4 * time.Second})
	is.True(m.Tick(before) == p) // a goroutine that has read the clock before the pause
	is.True(m.Tick(now.Add(time.Millisecond)) == p)
	is.Equal(m.MaxWait(now.Add(drainTime/2)), 4*time.Second)
	is.Equal(m.MaxWait(now.Add(drainTime)), time.Duration(0))
}

// Guards against a suspension of the VM that goes unnoticed because the monotonic clock
// stands still.
func TestMonitorNoticesASuspension(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := NewMonitor(now, time.Second)
	m.detector.wall.Add(-int64(4 * time.Second)) // the wall clock is 4 s ahead
	p := m.Tick(now.Add(100 * time.Millisecond))
	is.Equal(p.Length, 4100*time.Millisecond)
	is.Equal(p.Uncounted, 4*time.Second)
}
