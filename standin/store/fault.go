package store

import "time"

// faults are the faults that tests inject.
type faults struct {
	down         bool
	throttled    bool
	delay        time.Duration
	loseAnswers  int // number of writes
	loseRequests int // number of writes
}

// SetDown sets whether every call fails without effect with
// store.ErrUnavailable, including watches that are waiting.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetThrottled sets whether every call fails with store.ErrThrottled.
func (p *Platform) SetThrottled(throttled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.throttled = throttled
}

// SetDelay delays every answer by d. A write takes effect before the delay.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// LoseAnswers loses the answers to the next n writes, which take effect.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseAnswers = n
}

// LoseRequests loses the requests of the next n writes, which do not take effect.
// The client cannot distinguish this from a lost answer.
func (p *Platform) LoseRequests(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseRequests = n
}

// consume decrements n and reports whether it was above 0.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}
