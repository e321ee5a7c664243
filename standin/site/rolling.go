package site

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Changes selects the changes to a site during a run.
type Changes int

// Changes of a run.
const (
	// Mixed drains a server, makes a balancer leave, starts its replacement and
	// crashes another balancer, in this order.
	Mixed Changes = iota
	// Rolling replaces all balancers one by one and drains a server when the
	// first replacement starts.
	Rolling
	// Crash crashes one balancer and makes no other change.
	Crash
)

// Fractions of the run's duration for the changes Rolling and Crash.
const (
	rollingStartFraction = 0.15
	// rollingSpanFraction is the part of the duration in which the replacements
	// start, at equal intervals. It ends before the run, so that the last
	// replacements still receive new flows.
	rollingSpanFraction = 0.75
	crashFraction       = 0.5
)

// replaceBalancers replaces the balancers one by one. Each old balancer leaves when
// its replacement is ready. Leaving takes leavePeriod, so the next replacement
// starts meanwhile; otherwise a run of seconds could not replace all balancers.
func (r *run) replaceBalancers(ctx context.Context) error {
	var leaves conc.WaitGroup
	defer leaves.Wait()
	duration, vms := float64(r.config.Duration), r.config.Site.VMs
	for i, vm := range vms {
		fraction := rollingStartFraction + rollingSpanFraction*float64(i)/float64(len(vms))
		if !sleepUntil(ctx, r.started.Add(time.Duration(duration*fraction))) {
			return nil
		}
		if i == 0 {
			if err := r.drain(ctx); err != nil {
				return err
			}
		}
		if err := r.startReplacement(ctx, vm); err != nil {
			return err
		}
		old := r.instanceAt(i)
		leaves.Go(func() { r.leave(ctx, old) })
	}
	return nil
}

// recordLeaveStart records the start of the first leave.
func (c *changeLog) recordLeaveStart() {
	if c.leaveStarted.IsZero() {
		c.leaveStarted = time.Now()
	}
}

// recordLeaveEnd records the end of the latest leave and the first error.
func (c *changeLog) recordLeaveEnd(err error) {
	c.leaveEnded = time.Now()
	if c.leaveErr == nil {
		c.leaveErr = err
	}
}
