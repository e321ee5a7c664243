package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrLoadShed is returned for a request that was not executed because too many
// requests wait for a slot.
var ErrLoadShed = errors.New("load shed")

const (
	// coldSpeedFraction is the fraction of its speed at which a server starts its
	// warm-up.
	coldSpeedFraction = 0.25
	// maxWaitersPerSlot is how many requests may wait for each slot before load
	// is shed.
	maxWaitersPerSlot = 32
)

// processor models the processing capacity of a server: a number of slots, each of
// which works on one request at a time.
type processor struct {
	speed   float64
	warmUp  time.Duration
	slots   chan struct{}
	waiting atomic.Int64
	busy    atomic.Int64 // ns

	mu      sync.Mutex
	started time.Time
}

func newProcessor(speed float64, slots int, warmUp time.Duration) *processor {
	return &processor{speed: speed, warmUp: warmUp, slots: make(chan struct{}, slots)}
}

// start begins the warm-up.
func (p *processor) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = time.Now()
}

// admit returns ErrLoadShed while too many requests wait.
func (p *processor) admit() error {
	if int(p.waiting.Load()) >= cap(p.slots)*maxWaitersPerSlot {
		return ErrLoadShed
	}
	return nil
}

// run occupies a slot for the time that cost, given for a server of speed 1,
// takes at the current speed, and then calls execute. If ctx ends before a slot
// is free, it returns an error and does not call execute.
func (p *processor) run(ctx context.Context, cost time.Duration, execute func()) error {
	p.waiting.Add(1)
	select {
	case p.slots <- struct{}{}:
		p.waiting.Add(-1)
	case <-ctx.Done():
		p.waiting.Add(-1)
		return errors.Wrap(ctx.Err(), "wait for a slot")
	}
	defer func() { <-p.slots }()
	duration := time.Duration(float64(cost) / p.currentSpeed())
	time.Sleep(duration)
	p.busy.Add(int64(duration))
	execute()
	return nil
}

// currentSpeed returns the speed, which rises linearly from coldSpeedFraction of
// the full speed during the warm-up.
func (p *processor) currentSpeed() float64 {
	p.mu.Lock()
	age := time.Since(p.started)
	p.mu.Unlock()
	if p.warmUp <= 0 || age >= p.warmUp {
		return p.speed
	}
	return p.speed * (coldSpeedFraction + (1-coldSpeedFraction)*float64(age)/float64(p.warmUp))
}
