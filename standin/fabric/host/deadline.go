package host

import (
	"sync"
	"time"
)

// deadline closes a channel at a time that can be moved.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	moves   int
	expired chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

// wait returns the channel that is closed when the present deadline is over.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moves++
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
		move := d.moves
		d.timer = time.AfterFunc(wait, func() { d.expire(move) })
		return
	}
	close(d.expired)
}

// expire closes the channel unless the deadline was moved meanwhile.
func (d *deadline) expire(move int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moves == move {
		close(d.expired)
	}
}
