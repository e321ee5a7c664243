package events

import (
	"sync"

	"golang.org/x/time/rate"
)

// limits holds the rate limits of events that have one. A Logger shares them with
// the Loggers that its method With returns.
type limits struct {
	mu      sync.Mutex
	byEvent map[int]*limit
}

type limit struct {
	limiter    *rate.Limiter
	suppressed int64
}

// allow reports whether an event may be logged, and how many events with its
// number were suppressed since the last one that was logged.
func (l *limits) allow(e Event) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.byEvent[e.Number]
	if lim == nil {
		lim = &limit{limiter: rate.NewLimiter(rate.Limit(e.PerSecond), e.PerSecond)}
		l.byEvent[e.Number] = lim
	}
	if !lim.limiter.Allow() {
		lim.suppressed++
		return 0, false
	}
	suppressed, lim.suppressed = lim.suppressed, 0
	return suppressed, true
}
