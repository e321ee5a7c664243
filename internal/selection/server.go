package selection

import (
	"math"
	"time"

	"knapweedshore.example/internal/tables"
)

// Constants of what is observed of a server.
const (
	// BusyDecay is the time constant of the decaying busy time.
	BusyDecay = 10 * time.Second
	// SlowStartWindow is how long the weight of a cold server rises.
	SlowStartWindow = 30 * time.Second
	// SlowStartMinWeight is the part of its weight that a cold server starts with.
	SlowStartMinWeight = 0.1
)

// instant is a time in nanoseconds since the Chooser's epoch.
type instant int64

// server is what this process has observed of one backend server. It is
// guarded by the Chooser's lock.
type server struct {
	// flows are the connections, working those that the server works for.
	flows, working int
	// busy is the decaying mean of working, valid at busyAt.
	busy   float64
	busyAt instant
	// utilisation is busy for each slot, as of the pool's last tuning.
	utilisation float64
	// correction multiplies the operator's weight; see pool.tune.
	correction float64
	// tuned is how long the correction has been learned.
	tuned time.Duration
	// coldSince is the appearance or the end of the last ejection.
	coldSince instant

	health
}

func newServer(now instant, warm bool) *server {
	rec := &server{busyAt: now, coldSince: now, correction: 1}
	if warm {
		rec.coldSince -= instant(SlowStartWindow)
	}
	return rec
}

func (r *server) open(now instant) {
	r.flows++
	r.resume(now)
}

func (r *server) resume(now instant) {
	r.settle(now)
	r.working++
}

// close ends a flow at an instant that may have passed, because the end of an
// idle flow is noticed late: what was counted since then is taken back. It
// ignores a flow that was opened before the server was forgotten.
func (r *server) close(ended instant) {
	if r.flows == 0 {
		return
	}
	r.flows--
	r.pause(ended)
}

// pause is close for a flow that stays open.
func (r *server) pause(since instant) {
	r.settle(since)
	if r.working == 0 {
		return
	}
	r.working--
	r.busy -= float64(r.busyAt-since) / float64(BusyDecay)
}

// settle brings busy up to now.
func (r *server) settle(now instant) {
	if now > r.busyAt {
		r.busy, r.busyAt = r.busyNow(now), now
	}
}

// busyNow returns the mean of working flows weighted by exp(-age/BusyDecay).
func (r *server) busyNow(now instant) float64 {
	kept := math.Exp(-float64(now-r.busyAt) / float64(BusyDecay))
	return float64(r.working) + (r.busy-float64(r.working))*kept
}

// capacity returns the slots of the server, reduced while it is cold.
func (r *server) capacity(s *tables.Server, now instant) float64 {
	return slotsOf(s) * r.warmth(now)
}

// warmth rises linearly from ColdWeight to 1 during SlowStart.
func (r *server) warmth(now instant) float64 {
	age := float64(now-r.coldSince) / float64(SlowStartWindow)
	return SlowStartMinWeight + (1-SlowStartMinWeight)*min(1, max(0, age))
}

func slotsOf(s *tables.Server) float64 { return float64(max(1, s.Slots)) }

// weight returns the operator's weight with what was learned and the slow start.
func (r *server) weight(s *tables.Server, now instant) float64 {
	return float64(s.Weight) * r.correction * r.warmth(now)
}
