package site

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Changes says what happens to a site during a run.
type Changes int

// Changes of a run.
const (
	// Mixed is a server drain, a balancer that leaves, one that joins, and a
	// crash, in this order.
	Mixed Changes = iota
	// Rolling replaces all balancers one by one; a server drains when the first
	// replacement begins.
	Rolling
	// Crash kills one balancer and changes nothing else.
	Crash
)

// Parts of the duration at which the changes of one kind come.
const (
	rollingAfter = 0.15
	// rollingPart is the part in which the replacements begin, at equal
	// intervals. The last ones then still see new flows.
	rollingPart = 0.75
	crashAfter  = 0.5
)

// replaceAll replaces the balancers in turn: the new one is ready before the
// old one begins to leave. The old one still forwards for leavePeriod while
// the next replacement begins, so that a run of seconds can replace all.
func (r *run) replaceAll(ctx context.Context) error {
	var leaves conc.WaitGroup
	defer leaves.Wait()
	duration, vms := float64(r.config.Duration), r.config.Site.VMs
	for i, vm := range vms {
		after := rollingAfter + rollingPart*float64(i)/float64(len(vms))
		if !sleepUntil(ctx, r.started.Add(time.Duration(duration*after))) {
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
		old := r.member(i)
		leaves.Go(func() { r.leave(ctx, old) })
	}
	return nil
}

// beginLeave keeps the beginning of the first leave.
func (c *changeTimes) beginLeave() {
	if c.leaveBegan.IsZero() {
		c.leaveBegan = time.Now()
	}
}

// endLeave keeps the end of the last leave and the first error.
func (c *changeTimes) endLeave(err error) {
	c.leaveEnded = time.Now()
	if c.leaveErr == nil {
		c.leaveErr = err
	}
}
