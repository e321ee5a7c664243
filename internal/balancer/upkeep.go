package balancer

import (
	"context"
	"time"
)

const (
	// upkeepInterval is the time between two ageing steps.
	upkeepInterval = 100 * time.Millisecond
	// ageingPeriod is how long one pass over the flow table takes. It is
	// also the longest delay of a flow's expiry.
	ageingPeriod = 10 * time.Second
	// pauseIdleInterval is how often idle flows are removed from the load of their
	// servers, with effect from the time at which they became idle. A pass takes
	// 23 ms of CPU time with 500,000 flows.
	pauseIdleInterval = time.Second
	// pruneInterval is how often old exceptions are dropped.
	pruneInterval = time.Minute
	// minAgeingEntries is the minimum number of entries that one step examines.
	minAgeingEntries = 1024
)

// upkeepLoop ages flows in small steps, removes idle flows from the load of their
// servers, logs overload, and drops old exceptions.
func (b *Balancer) upkeepLoop(ctx context.Context) error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	lastPause, lastPrune := time.Now(), time.Now()
	overloads := newOverloads()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		b.engine.Age(now, b.ageingEntries())
		if now.Sub(lastPause) >= pauseIdleInterval {
			b.engine.PauseIdle(now)
			for _, o := range overloads {
				o.check(b.metrics.Refusals(), b.log, now)
			}
			lastPause = now
		}
		if now.Sub(lastPrune) >= pruneInterval {
			b.prune(now)
			lastPrune = now
		}
	}
}

// ageingEntries returns how many entries one ageing step examines, so that a pass
// over the flow table takes ageingPeriod.
func (b *Balancer) ageingEntries() int {
	steps := int(ageingPeriod / upkeepInterval)
	return max(b.flows.Len()/steps, minAgeingEntries)
}

func (b *Balancer) prune(now time.Time) {
	for _, fingerprint := range b.received.Prune(now) {
		b.sender.Close(fingerprint)
	}
}
