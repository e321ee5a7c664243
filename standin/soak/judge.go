package soak

import (
	"fmt"
	"sync"
	"time"
)

// Time limits of the promises.
const (
	// drainBound is how long a server may still get new flows after its drain has
	// started, and configBound the time within which a configuration is applied. Both
	// hold for stable daemons only.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// maxViolations is the number of violations that are kept. The first ones are the
	// most useful.
	maxViolations = 50
)

// impairment is a period in which nodes were impaired by a fault or change. Its end is
// zero as long as it lasts.
type impairment struct{ from, to time.Time }

func (i *impairment) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

// checker records impairments and checks the promises. A daemon is stable if neither
// it nor the store as a whole was impaired during the last recoveryTime. Promises with
// a time limit hold for stable daemons only.
type checker struct {
	mu          sync.Mutex
	startedAt   time.Time
	impairments map[node][]*impairment
	// drainStarts holds the times at which servers started to drain, by server number.
	drainStarts map[uint64]time.Time
	// evacuatedSince holds the times at which the evacuations in force began, by zone.
	evacuatedSince map[int]time.Time
	// routeChanges are the changes of toggledRoute in the order of time.
	routeChanges []routeChange
	counts       Counts
	violations   []string
}

// routeChange is the writing of a configuration with or without toggledRoute.
type routeChange struct {
	at      time.Time
	present bool
}

// Counts are the numbers of flows, requests and checks of a run.
type Counts struct {
	Flows, Requests, FailedFlows int
	// FaultFreeFlows counts the flows during which nothing was impaired. None of them
	// may fail.
	FaultFreeFlows int
	// Openings counts the new flows that stable daemons sent to servers.
	Openings int
	// Probes counts the checks whether a stable daemon has the toggled route.
	Probes int
}

func newChecker() *checker {
	return &checker{startedAt: time.Now(), impairments: map[node][]*impairment{}, drainStarts: map[uint64]time.Time{}, evacuatedSince: map[int]time.Time{}}
}

// addViolation records a broken promise.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.2fs: ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
	}
}

// impair marks nodes as impaired until end is called.
func (c *checker) impair(nodes ...node) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := &impairment{from: time.Now()}
	for _, n := range nodes {
		c.impairments[n] = append(c.impairments[n], i)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		i.to = time.Now()
	}
}

// unimpaired reports whether a node was not impaired between two times. c.mu must be
// held.
func (c *checker) unimpaired(n node, from, to time.Time) bool {
	for _, i := range c.impairments[n] {
		if i.overlaps(from, to) {
			return false
		}
	}
	return true
}

// stable reports whether the promises with a time limit hold for a daemon. c.mu must
// be held.
func (c *checker) stable(daemon int, now time.Time) bool {
	from := now.Add(-recoveryTime)
	return c.unimpaired(daemonNode(daemon), from, now) && c.unimpaired(storeNode, from, now)
}

// faultFree reports whether no node was impaired between two times or during the
// recoveryTime before. c.mu must be held.
func (c *checker) faultFree(from, to time.Time) bool {
	for n := range c.impairments {
		if !c.unimpaired(n, from.Add(-recoveryTime), to) {
			return false
		}
	}
	return true
}

// recordDrain records that a server starts to drain.
func (c *checker) recordDrain(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStarts[number] = time.Now()
}

// recordRouteChange records the writing of a configuration with or without
// toggledRoute.
func (c *checker) recordRouteChange(present bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routeChanges = append(c.routeChanges, routeChange{time.Now(), present})
}

// expectedRoute returns whether every stable daemon has to have toggledRoute. definite
// is false until configBound has passed since the last change, because daemons may
// differ until then. c.mu must be held.
func (c *checker) expectedRoute(now time.Time) (present, definite bool) {
	if len(c.routeChanges) == 0 {
		return false, true
	}
	last := c.routeChanges[len(c.routeChanges)-1]
	return last.present, now.Sub(last.at) > configBound
}

// checkOpening checks the first packet of a flow on its way from a daemon to a server.
// The drain of the server must not have started more than drainBound ago, and the
// route must exist.
func (c *checker) checkOpening(daemon int, server uint64, route string, now time.Time) {
	c.mu.Lock()
	stable := c.stable(daemon, now)
	if stable {
		c.counts.Openings++
	}
	drainStart, draining := c.drainStarts[server]
	present, definite := c.expectedRoute(now)
	c.mu.Unlock()
	switch {
	case !stable:
	case draining && now.Sub(drainStart) > drainBound:
		c.addViolation("daemon %d sent a new flow to server i-%08x %s after the start of its drain", daemon, server, now.Sub(drainStart))
	case route == toggledRoute && definite && !present:
		c.addViolation("daemon %d sent a new flow on a dropped route to server i-%08x", daemon, server)
	}
}

// checkFlow counts a flow that has ended. A failed flow is a violation if nothing was
// impaired.
func (c *checker) checkFlow(flowName string, began time.Time, requests int, err error) {
	c.mu.Lock()
	faultFree := c.faultFree(began, time.Now())
	c.counts.Flows++
	c.counts.Requests += requests
	if faultFree {
		c.counts.FaultFreeFlows++
	}
	if err != nil {
		c.counts.FailedFlows++
	}
	c.mu.Unlock()
	if err != nil && faultFree {
		c.addViolation("%s failed although nothing was impaired: %v", flowName, err)
	}
}
