package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds from the promises.
const (
	// drainBound is how long after its drain a server may get new flows, and
	// configBound within which a configuration is in force, at daemons in touch.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// mostViolations are kept; the first one is what matters.
	mostViolations = 50
)

// span is a time in which something was impaired; its end is zero while it lasts.
type span struct{ from, to time.Time }

func (s *span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// judge collects what was impaired and which promises were broken. A daemon is in
// touch while neither it nor the store as a whole has been impaired for
// recoveryTime; only then do the promises with a bound hold for it.
type judge struct {
	mu       sync.Mutex
	began    time.Time
	impaired map[node][]*span
	// drained are the times at which servers said that they leave, by their number.
	drained map[uint64]time.Time
	// changes are those of the route that is added and dropped.
	changes    []routeChange
	counts     Counts
	violations []string
}

// routeChange is a configuration that was written.
type routeChange struct {
	at      time.Time
	present bool
}

// Counts tell how much was judged.
type Counts struct {
	Flows, Requests, FailedFlows int
	// FaultFreeFlows had no impairment anywhere and have to be served.
	FaultFreeFlows int
	// Openings are flows that servers got through daemons in touch.
	Openings int
	// Probes are flows on the route that is added and dropped, at daemons in touch.
	Probes int
}

func newJudge() *judge {
	return &judge{began: time.Now(), impaired: map[node][]*span{}, drained: map[uint64]time.Time{}}
}

// violated notes a broken promise.
func (j *judge) violated(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.violations) < mostViolations {
		j.violations = append(j.violations, fmt.Sprintf("%.2fs: ", time.Since(j.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

// impair marks nodes as impaired until the returned function is called.
func (j *judge) impair(nodes ...node) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &span{from: time.Now()}
	for _, n := range nodes {
		j.impaired[n] = append(j.impaired[n], s)
	}
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		s.to = time.Now()
	}
}

// clear reports whether a node was not impaired in a time. j.mu is held.
func (j *judge) clear(n node, from, to time.Time) bool {
	for _, s := range j.impaired[n] {
		if s.overlaps(from, to) {
			return false
		}
	}
	return true
}

// inTouch reports whether the promises with a bound hold for a daemon. j.mu is held.
func (j *judge) inTouch(daemon int, now time.Time) bool {
	from := now.Add(-recoveryTime)
	return j.clear(daemonNode(daemon), from, now) && j.clear(storeNode, from, now)
}

// calm reports whether nothing at all was impaired in a time and before it. j.mu is
// held.
func (j *judge) calm(from, to time.Time) bool {
	for n := range j.impaired {
		if !j.clear(n, from.Add(-recoveryTime), to) {
			return false
		}
	}
	return true
}

// drains notes that a server has said that it leaves.
func (j *judge) drains(number uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained[number] = time.Now()
}

// changed notes a configuration with or without the route that comes and goes.
func (j *judge) changed(present bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, routeChange{time.Now(), present})
}

// settled returns what every daemon in touch has to do with the route that comes
// and goes, or false if that changed within the bound.
func (j *judge) settled(now time.Time) (present, ok bool) {
	if len(j.changes) == 0 {
		return false, true
	}
	last := j.changes[len(j.changes)-1]
	return last.present, now.Sub(last.at) > configBound
}

// opening judges the first packet of a flow on its way from a daemon to a server.
func (j *judge) opening(daemon int, server uint64, route string, now time.Time) {
	j.mu.Lock()
	touch := j.inTouch(daemon, now)
	if touch {
		j.counts.Openings++
	}
	since, drained := j.drained[server]
	present, settled := j.settled(now)
	j.mu.Unlock()
	switch {
	case !touch:
	case drained && now.Sub(since) > drainBound:
		j.violated("daemon %d sent a new flow to server i-%08x %s after its drain", daemon, server, now.Sub(since))
	case route == addedRoute && settled && !present:
		j.violated("daemon %d sent a new flow on a dropped route to server i-%08x", daemon, server)
	}
}

// flowEnded counts a flow. One that was not served is a violation if all was calm.
func (j *judge) flowEnded(what string, began time.Time, requests int, err error) {
	j.mu.Lock()
	calm := j.calm(began, time.Now())
	j.counts.Flows++
	j.counts.Requests += requests
	if calm {
		j.counts.FaultFreeFlows++
	}
	if err != nil {
		j.counts.FailedFlows++
	}
	j.mu.Unlock()
	if err != nil && calm {
		j.violated("%s failed although nothing was impaired: %v", what, err)
	}
}
