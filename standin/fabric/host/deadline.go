package host

import (
	"sync"
	"time"
)

// deadline closes a channel at a time that can be changed.
type deadline struct {
	mu         sync.Mutex
	timer      *time.Timer
	generation int // counts calls of set
	expired    chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

// done returns the channel that is closed when the current deadline expires.
func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// set changes the deadline. The zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	if d.timer != nil {
		d.timer.Stop()
	}
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	if wait := time.Until(t); wait > 0 {
		generation := d.generation
		d.timer = time.AfterFunc(wait, func() { d.expire(generation) })
		return
	}
	close(d.expired)
}

// expire closes the channel unless the deadline has changed since the timer was
// started.
func (d *deadline) expire(generation int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.generation == generation {
		close(d.expired)
	}
}
