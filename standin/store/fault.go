package store

import "time"

// faults are the switches that tests set.
type faults struct {
	down         bool
	throttled    bool
	slow         time.Duration
	loseAnswers  int
	loseRequests int
}

// SetDown makes every call fail without effect, or ends that. Watches that
// wait end too.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetThrottled makes every call exceed the rate limit, or ends that.
func (p *Platform) SetThrottled(throttled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.throttled = throttled
}

// SetDelay delays every answer by d. A write takes effect before the delay, as
// in a service whose answers are slow.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.slow = d
}

// LoseAnswers loses the answers of the next n writes after they took effect.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseAnswers = n
}

// LoseRequests loses the next n writes before they take effect; the caller
// cannot tell them from lost answers.
func (p *Platform) LoseRequests(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseRequests = n
}

// take counts down a fault that holds for a number of writes.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}
