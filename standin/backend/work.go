package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrLoadShed is the refusal of a request because too many wait for a slot. The
// request was not executed.
var ErrLoadShed = errors.New("load shed")

const (
	// coldShare is the share of its speed that a cold server starts with.
	coldShare = 0.25
	// waitersPerSlot bounds the requests that wait before load is shed.
	waitersPerSlot = 32
)

// work is the processing capacity of a server.
type work struct {
	speed   float64
	cold    time.Duration
	slots   chan struct{}
	waiting atomic.Int64
	busy    atomic.Int64

	mu      sync.Mutex
	started time.Time
}

func newWork(speed float64, slots int, cold time.Duration) *work {
	return &work{speed: speed, cold: cold, slots: make(chan struct{}, slots)}
}

// start makes the server cold.
func (w *work) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = time.Now()
}

// admit refuses a new request while too many wait.
func (w *work) admit() error {
	if int(w.waiting.Load()) >= cap(w.slots)*waitersPerSlot {
		return ErrLoadShed
	}
	return nil
}

// do occupies a slot for a cost, given for a server of speed 1, and then runs
// then. It does neither when it returns an error.
func (w *work) do(ctx context.Context, cost time.Duration, then func()) error {
	w.waiting.Add(1)
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-ctx.Done():
		w.waiting.Add(-1)
		return errors.Wrap(ctx.Err(), "wait for a slot")
	}
	defer func() { <-w.slots }()
	took := time.Duration(float64(cost) / w.speedNow())
	time.Sleep(took)
	w.busy.Add(int64(took))
	then()
	return nil
}

// speedNow rises linearly from coldShare to the whole speed.
func (w *work) speedNow() float64 {
	w.mu.Lock()
	age := time.Since(w.started)
	w.mu.Unlock()
	if w.cold <= 0 || age >= w.cold {
		return w.speed
	}
	return w.speed * (coldShare + (1-coldShare)*float64(age)/float64(w.cold))
}
