package balancer

import (
	"context"
	"time"
)

const (
	// upkeepInterval is the period of ageing; a flow expires late by at most
	// ageingPeriod.
	upkeepInterval = 100 * time.Millisecond
	// ageingPeriod is how long one pass over the flow table takes.
	ageingPeriod = 10 * time.Second
	// pauseInterval is the period in which idle flows are taken off the load of
	// their servers, from the time on at which they became idle. A pass takes
	// 23 ms of processor time at 500,000 flows.
	pauseInterval = time.Second
	// pruneInterval is the period in which old exceptions are dropped.
	pruneInterval = time.Minute
	// minimumAgeing is how many entries one step examines at least.
	minimumAgeing = 1024
)

// upkeepLoop ages the flows in small steps.
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
		b.engine.Age(now, b.ageingLimit())
		if now.Sub(lastPause) >= pauseInterval {
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

// ageingLimit spreads one pass over ageingPeriod.
func (b *Balancer) ageingLimit() int {
	steps := int(ageingPeriod / upkeepInterval)
	return max(b.flows.Len()/steps, minimumAgeing)
}

func (b *Balancer) prune(now time.Time) {
	for _, fingerprint := range b.held.Prune(now) {
		b.sender.Close(fingerprint)
	}
}
