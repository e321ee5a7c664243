package site

import (
	"fmt"
	"time"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
)

// crashEffect is how long after a crash flows may break because of it: the
// balancers need about 2 s to detect it, and flows some retransmissions.
const crashEffect = 5 * time.Second

// Kinds of violations that only the site sees.
const (
	// BrokenFlow is a flow that broke although no crash explains it.
	BrokenFlow fabric.ViolationKind = "broken_flow"
	// BrokenByLeave is such a flow that was open while a balancer left.
	BrokenByLeave fabric.ViolationKind = "broken_by_leave"
	// WrongResponse is a response that is not the one to the request.
	WrongResponse fabric.ViolationKind = "wrong_response"
	// RefusedButExecuted is a request that was executed although its caller
	// was told that it was not.
	RefusedButExecuted fabric.ViolationKind = "refused_but_executed"
	// RepeatedExecution is a confirmation that was executed more than once.
	RepeatedExecution fabric.ViolationKind = "repeated_execution"
	// ConfirmedWithoutExecution is a confirmed request that was not executed.
	ConfirmedWithoutExecution fabric.ViolationKind = "confirmed_without_execution"
	// WorkAfterDrain is a new flow on a server long after its drain.
	WorkAfterDrain fabric.ViolationKind = "work_after_drain"
)

// checker checks the promises that show in the results of flows and in the
// servers' records.
type checker struct {
	changes    changeTimes
	executions *backend.Executions
	violations []fabric.Violation
}

func (c *checker) violate(p fabric.Promise, k fabric.ViolationKind, flow string, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, fabric.Violation{
		Promise: p, Kind: k, Flow: flow, At: at, Detail: fmt.Sprintf(format, args...),
	})
}

// flow checks one result.
func (c *checker) flow(r flowResult) {
	name := fmt.Sprintf("%s from %s", r.service, r.Caller)
	switch r.Outcome {
	case caller.Broken:
		c.brokenFlow(name, r)
	case caller.Refused:
		c.refusedFlow(name, r)
	}
	for i := range r.Latencies {
		request := r.Requests[i]
		if request.Operation == backend.Confirm && c.executions.Count(request.ID) == 0 {
			c.violate(fabric.P3, ConfirmedWithoutExecution, name, r.Ended, "confirmation %q", request.ID)
		}
	}
}

func (c *checker) brokenFlow(name string, r flowResult) {
	switch {
	case r.Reason == caller.WrongHash || r.Reason == caller.WrongAnswer || r.Reason == caller.DataAfterResponse:
		c.violate(fabric.P3, WrongResponse, name, r.Ended, "%v", r.Err)
	case c.byCrash(r):
	case !c.changes.leaveBegan.IsZero() && overlaps(r, c.changes.leaveBegan, c.leaveEnd()):
		c.violate(fabric.P7, BrokenByLeave, name, r.Ended, "%s: %v", r.Reason, r.Err)
	default:
		c.violate(fabric.P1, BrokenFlow, name, r.Ended, "%s: %v", r.Reason, r.Err)
	}
}

// byCrash reports whether the crash can have broken the flow.
func (c *checker) byCrash(r flowResult) bool {
	return !c.changes.killed.IsZero() && overlaps(r, c.changes.killed, c.changes.killed.Add(crashEffect))
}

func (c *checker) crashEffectAt(t time.Time) bool {
	k := c.changes.killed
	return !k.IsZero() && !t.Before(k) && t.Before(k.Add(crashEffect))
}

func (c *checker) leaveEnd() time.Time {
	if c.changes.leaveEnded.IsZero() {
		return time.Now()
	}
	return c.changes.leaveEnded
}

func overlaps(r flowResult, from, to time.Time) bool {
	return r.Opened.Before(to) && r.Ended.After(from)
}

// refusedFlow checks that the request whose refusal ended the flow was not
// executed. Those before it had their responses.
func (c *checker) refusedFlow(name string, r flowResult) {
	for _, request := range r.Requests[len(r.Latencies):] {
		if request.Operation == backend.Confirm && c.executions.Count(request.ID) > 0 {
			c.violate(fabric.P4, RefusedButExecuted, name, r.Ended, "confirmation %q", request.ID)
		}
	}
}

// servers checks what the servers recorded.
func (c *checker) servers(stats map[string]map[string]backend.Stats) {
	for _, id := range c.executions.Repeated() {
		c.violate(fabric.P5, RepeatedExecution, "", time.Now(), "confirmation %q: %d executions", id, c.executions.Count(id))
	}
	for pool, servers := range stats {
		for name, s := range servers {
			if s.NewAfterDrain > 0 {
				c.violate(fabric.P6, WorkAfterDrain, "", time.Now(), "server %q of pool %q: %d new flows", name, pool, s.NewAfterDrain)
			}
		}
	}
}
