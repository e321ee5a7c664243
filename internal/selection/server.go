package selection

import (
	"math"
	"time"

	"knapweedshore.example/internal/tables"
)

// Observation of servers and slow start.
const (
	// BusyDecay is the time constant of the exponential decay of busy time.
	BusyDecay = 10 * time.Second
	// SlowStartWindow is the duration of a slow start, during which the weight of
	// a new or reinstated server rises.
	SlowStartWindow = 30 * time.Second
	// SlowStartMinWeight is the fraction of its weight with which a server begins
	// a slow start.
	SlowStartMinWeight = 0.1
)

// instant is a time in nanoseconds since the Chooser's epoch.
type instant int64

// server holds what this process has observed of one backend server. It is
// guarded by the Chooser's lock.
type server struct {
	// flows counts the open flows, working those of them that are not paused.
	flows, working int
	// busy is the exponentially decaying mean of working, as of busyAt.
	busy   float64
	busyAt instant
	// utilisation is busy per slot, as of the last tuning of the pool.
	utilisation float64
	// correction multiplies the operator's weight; see pool.tune.
	correction float64
	// tunedFor is the total time for which the correction has been tuned.
	tunedFor time.Duration
	// slowStartBegan is when the server was added or its last ejection ended.
	slowStartBegan instant

	health
}

func newServer(now instant, skipSlowStart bool) *server {
	rec := &server{busyAt: now, slowStartBegan: now, correction: 1}
	if skipSlowStart {
		rec.slowStartBegan -= instant(SlowStartWindow)
	}
	return rec
}

func (r *server) open(now instant) {
	r.flows++
	r.resume(now)
}

func (r *server) resume(now instant) {
	r.updateBusy(now)
	r.working++
}

// close ends a flow. The instant may be in the past, because the end of an idle
// flow is noticed late; the busy time counted since then is subtracted. A flow
// that was opened before the server was removed and added again is ignored.
func (r *server) close(ended instant) {
	if r.flows == 0 {
		return
	}
	r.flows--
	r.pause(ended)
}

// pause stops counting a flow as working since an instant that may be in the
// past, as close does, but keeps it open.
func (r *server) pause(since instant) {
	r.updateBusy(since)
	if r.working == 0 {
		return
	}
	r.working--
	r.busy -= float64(r.busyAt-since) / float64(BusyDecay)
}

// updateBusy advances busy to now. It does nothing if now is before busyAt.
func (r *server) updateBusy(now instant) {
	if now > r.busyAt {
		r.busy, r.busyAt = r.busyMean(now), now
	}
}

// busyMean returns the mean of working up to now, weighted by
// exp(-age/BusyDecay).
func (r *server) busyMean(now instant) float64 {
	decay := math.Exp(-float64(now-r.busyAt) / float64(BusyDecay))
	return float64(r.working) + (r.busy-float64(r.working))*decay
}

// capacity returns the number of slots of the server, reduced during slow start.
func (r *server) capacity(s *tables.Server, now instant) float64 {
	return slotCount(s) * r.slowStartFactor(now)
}

// slowStartFactor returns the fraction of its weight that the server gets now. It
// rises linearly from SlowStartMinWeight to 1 during SlowStartWindow.
func (r *server) slowStartFactor(now instant) float64 {
	age := float64(now-r.slowStartBegan) / float64(SlowStartWindow)
	return SlowStartMinWeight + (1-SlowStartMinWeight)*min(1, max(0, age))
}

// slotCount returns the number of requests that the server processes
// concurrently.
func slotCount(s *tables.Server) float64 { return float64(max(1, s.Slots)) }

// effectiveWeight returns the operator's weight multiplied by the learned
// correction and the slow-start factor.
func (r *server) effectiveWeight(s *tables.Server, now instant) float64 {
	return float64(s.Weight) * r.correction * r.slowStartFactor(now)
}
