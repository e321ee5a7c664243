package site

import (
	"fmt"
	"time"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/inet"
)

// crashImpactPeriod is the time after a crash during which flows may break because
// of it. The balancers need about 2 s to detect the crash, and callers then need
// some retransmissions.
const crashImpactPeriod = 5 * time.Second

// exceptionDelay is the longest time from the opening of a flow until the owner's
// backup knows the flow's server. Design section 2.3: exceptions are sent every 250 ms,
// and flows younger than that wait for the next batch.
const exceptionDelay = 500 * time.Millisecond

// Kinds of violations that show in the results of callers and servers and not in
// the network.
const (
	// BrokenFlow is a flow that broke although it was open neither during a leave
	// nor within crashImpactPeriod after a crash.
	BrokenFlow fabric.ViolationKind = "broken_flow"
	// BrokenByLeave is a flow that broke and was open while a balancer left, but
	// not within crashImpactPeriod after a crash.
	BrokenByLeave fabric.ViolationKind = "broken_by_leave"
	// WrongResponse is a response that does not match the request.
	WrongResponse fabric.ViolationKind = "wrong_response"
	// RefusedButExecuted is a request that was executed although its flow was
	// refused.
	RefusedButExecuted fabric.ViolationKind = "refused_but_executed"
	// RepeatedExecution is a confirmation that was executed more than once.
	RepeatedExecution fabric.ViolationKind = "repeated_execution"
	// ConfirmedWithoutExecution is a confirmed request that was not executed.
	ConfirmedWithoutExecution fabric.ViolationKind = "confirmed_without_execution"
	// WorkAfterDrain is a new flow on a server long after its drain started.
	WorkAfterDrain fabric.ViolationKind = "work_after_drain"
)

// checker finds violations in the results of flows and in the records of the
// servers.
type checker struct {
	changes    changeLog
	executions *backend.Executions
	violations []fabric.Violation
	// unreplicated holds the UDP flows that were open at the crash and so young that
	// the backup of their owner may not have known their server.
	unreplicated map[fabric.FlowKey]bool
}

func newChecker(changes changeLog, executions *backend.Executions) *checker {
	return &checker{changes: changes, executions: executions, unreplicated: make(map[fabric.FlowKey]bool)}
}

// recordIfUnreplicated adds the flow to unreplicated if it belongs there.
func (c *checker) recordIfUnreplicated(r flowResult, s Service) {
	killed := c.changes.killed
	if s.Protocol != tables.UDP || killed.IsZero() || !overlaps(r, killed, killed) || r.Opened.Before(killed.Add(-exceptionDelay)) {
		return
	}
	c.unreplicated[fabric.FlowKey{Protocol: inet.UDP, Caller: r.Caller, Service: s.Address}] = true
}

// splitByLimit separates the violations that the limit of design section 2.3 explains:
// a UDP flow is not probed, so its new owner sends its payload to its default server
// when the owner crashed before the backup knew of an exception.
func (c *checker) splitByLimit(violations []fabric.Violation) (broken, limited []fabric.Violation) {
	for _, v := range violations {
		if v.Kind == fabric.SecondServer && c.unreplicated[v.Key] && v.At.After(c.changes.killed) {
			limited = append(limited, v)
		} else {
			broken = append(broken, v)
		}
	}
	return broken, limited
}

func (c *checker) addViolation(p fabric.Promise, k fabric.ViolationKind, flow string, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, fabric.Violation{
		Promise: p, Kind: k, Flow: flow, At: at, Detail: fmt.Sprintf(format, args...),
	})
}

// checkFlow checks one result.
func (c *checker) checkFlow(r flowResult) {
	name := fmt.Sprintf("%s from %s", r.service, r.Caller)
	switch r.Outcome {
	case caller.Broken:
		c.checkBrokenFlow(name, r)
	case caller.Refused:
		c.checkRefusedFlow(name, r)
	}
	for i := range r.Latencies {
		request := r.Requests[i]
		if request.Operation == backend.Confirm && c.executions.Count(request.ID) == 0 {
			c.addViolation(fabric.P3, ConfirmedWithoutExecution, name, r.Ended, "confirmation %q", request.ID)
		}
	}
}

func (c *checker) checkBrokenFlow(name string, r flowResult) {
	switch {
	case r.Reason == caller.WrongHash || r.Reason == caller.WrongAnswer || r.Reason == caller.DataAfterResponse:
		c.addViolation(fabric.P3, WrongResponse, name, r.Ended, "%v", r.Err)
	case c.explainedByCrash(r):
	case !c.changes.leaveStarted.IsZero() && overlaps(r, c.changes.leaveStarted, c.leaveEnd()):
		c.addViolation(fabric.P7, BrokenByLeave, name, r.Ended, "%s: %v", r.Reason, r.Err)
	default:
		c.addViolation(fabric.P1, BrokenFlow, name, r.Ended, "%s: %v", r.Reason, r.Err)
	}
}

// explainedByCrash reports whether the crash may have broken the flow.
func (c *checker) explainedByCrash(r flowResult) bool {
	return !c.changes.killed.IsZero() && overlaps(r, c.changes.killed, c.changes.killed.Add(crashImpactPeriod))
}

// withinCrashImpact reports whether t is within crashImpactPeriod after the crash.
func (c *checker) withinCrashImpact(t time.Time) bool {
	k := c.changes.killed
	return !k.IsZero() && !t.Before(k) && t.Before(k.Add(crashImpactPeriod))
}

// leaveEnd returns the end of the leave, or the current time if it has not ended.
func (c *checker) leaveEnd() time.Time {
	if c.changes.leaveEnded.IsZero() {
		return time.Now()
	}
	return c.changes.leaveEnded
}

// overlaps reports whether the flow was open at any time between from and to.
func overlaps(r flowResult, from, to time.Time) bool {
	return r.Opened.Before(to) && r.Ended.After(from)
}

// checkRefusedFlow checks that no request without a response was executed.
func (c *checker) checkRefusedFlow(name string, r flowResult) {
	for _, request := range r.Requests[len(r.Latencies):] {
		if request.Operation == backend.Confirm && c.executions.Count(request.ID) > 0 {
			c.addViolation(fabric.P4, RefusedButExecuted, name, r.Ended, "confirmation %q", request.ID)
		}
	}
}

// checkServers checks the executions and the new flows that servers recorded.
func (c *checker) checkServers(stats map[string]map[string]backend.Stats) {
	for _, id := range c.executions.Repeated() {
		c.addViolation(fabric.P5, RepeatedExecution, "", time.Now(), "confirmation %q: %d executions", id, c.executions.Count(id))
	}
	for pool, servers := range stats {
		for name, s := range servers {
			if s.NewAfterDrain > 0 {
				c.addViolation(fabric.P6, WorkAfterDrain, "", time.Now(), "server %q of pool %q: %d new flows", name, pool, s.NewAfterDrain)
			}
		}
	}
}
