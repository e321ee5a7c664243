package events

import (
	"sync"

	"golang.org/x/time/rate"
)

// limits bound the lines of the events that requests cause. Loggers that were
// made with With share them.
type limits struct {
	mu      sync.Mutex
	byEvent map[int]*limit
}

type limit struct {
	limiter    *rate.Limiter
	suppressed int64
}

// take reports whether an event may be logged, and how many of its kind were
// left out since the last one.
func (l *limits) take(e Event) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byEvent[e.Number]
	if known == nil {
		known = &limit{limiter: rate.NewLimiter(rate.Limit(e.PerSecond), e.PerSecond)}
		l.byEvent[e.Number] = known
	}
	if !known.limiter.Allow() {
		known.suppressed++
		return 0, false
	}
	suppressed, known.suppressed = known.suppressed, 0
	return suppressed, true
}
