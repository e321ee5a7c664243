package cookie

import (
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

// Limits on the resets of one call of Expire, so that the callers of a server that is gone
// do not all open new flows at the same time.
const (
	maxWaitingResets = 32
	maxIdleResets    = 8
)

// maxClockError bounds the difference between the clocks of servers and daemons.
const maxClockError = 5 * time.Second

// reasonRestarted is why a flow of a server that has restarted under its id is reset.
const reasonRestarted = "restarted"

// isLong reports whether callers send more than one request on a flow of a route. Elsewhere,
// open flows are not reset: a request that is under way gains nothing by it.
func (e *Engine) isLong(r *directory.Route) bool {
	return e.silences != nil && r != nil && e.longRoutes[r.Name]
}

// reportProgress passes what a packet shows of the flow's server on to the evidence.
func (e *Engine) reportProgress(f *flow, s step, now time.Time) {
	if s.requested && f.progress.requests == 2 {
		e.longRoutes[f.route.Name] = true
	}
	switch {
	case e.silences == nil:
	case s.answered && s.advanced: // a caller that gives up also ends its request
		e.silences.Answered(f.server, now.Add(-s.took), now)
	case s.advanced:
		e.silences.Answered(f.server, time.Time{}, now)
	case s.repeated && e.isLong(f.route):
		f.period = e.silences.Repeated(f.server, f.period, s.previouslySentAt, now)
	}
}

// goneReason returns why the server of a flow is gone; empty if it is not.
func (e *Engine) goneReason(f *flow) string {
	if f.restarted {
		return reasonRestarted
	}
	return string(e.silences.Gone(f.server.Cookie))
}

// refuseGone returns a refusal with a reset for a packet with payload to a server that is
// gone; nil otherwise.
func (e *Engine) refuseGone(server *directory.Server, route *directory.Route, p Packet, now time.Time) *refusal {
	if p.PayloadLen == 0 || !e.isLong(route) {
		return nil
	}
	reason := e.silences.Gone(server.Cookie)
	if reason == "" {
		return nil
	}
	e.logReset(flowKey{p.Caller, p.Service}, server, string(reason), true)
	return &refusal{metrics.ServerGone, true}
}

func (e *Engine) logReset(key flowKey, server *directory.Server, reason string, waiting bool) {
	e.log.Log(events.FlowReset, zap.Stringer("caller", key.caller), zap.Stringer("service", key.service),
		zap.String("server", server.Name), zap.String("reason", reason), zap.Bool("waiting", waiting))
}

// withoutGone returns the candidates that do not count as gone, or all if there is no other.
func (e *Engine) withoutGone(candidates []*directory.Server) []*directory.Server {
	if e.silences == nil || e.silences.GoneCount() == 0 {
		return candidates
	}
	var rest []*directory.Server
	for _, s := range candidates {
		if e.silences.Gone(s.Cookie) == "" {
			rest = append(rest, s)
		}
	}
	if len(rest) == 0 {
		return candidates
	}
	return rest
}

// judge judges the servers that may be gone.
func (e *Engine) judge(now time.Time) {
	for _, v := range e.silences.Judge(now) {
		fields := []zap.Field{zap.String("server", v.Server.Name), zap.String("pool", v.Server.Pool), zap.String("reason", string(v.Reason)),
			zap.Int("witnesses", v.Witnesses), zap.Int("flows", v.Flows), zap.Duration("silent_for", v.SilentFor)}
		switch {
		case v.Withheld:
			e.log.Log(events.VerdictWithheld, fields...)
		case v.Reason != "":
			e.metrics.Count(metrics.ServersGone, 1)
			e.log.Log(events.ServerGone, fields...)
		default:
			e.log.Log(events.ServerBack, fields...)
		}
	}
}

// resetGone returns the resets for flows whose servers are gone, those of callers that wait
// for an answer first, and deletes their records. A flow that gets none now gets one later.
func (e *Engine) resetGone(now time.Time) []Verdict {
	if e.silences == nil {
		return nil
	}
	e.judge(now)
	d := e.directories.Current()
	changed := d != e.lastDirectory
	e.lastDirectory = d
	undecided := e.silences.Undecided(now)
	held := map[directory.Cookie]bool{}
	var resets []Verdict
	waiting, idle := 0, 0
	for key, f := range e.flows {
		if !f.established || f.ended || !e.isLong(f.route) {
			continue
		}
		if changed && d != nil {
			f.refreshServer(d)
		}
		if undecided[f.server.Cookie] {
			held[f.server.Cookie] = true
		}
		reason := e.goneReason(f)
		switch {
		case reason == "":
			continue
		case f.progress.waiting && waiting < maxWaitingResets:
			waiting++
		case !f.progress.waiting && idle < maxIdleResets:
			idle++
		default:
			continue
		}
		resets = append(resets, e.resetFlow(key, f))
		e.logReset(key, f.server, reason, f.progress.waiting)
		e.forget(key, f, now)
	}
	e.silences.SetHeld(held)
	e.metrics.Count(metrics.FlowsReset, int64(len(resets)))
	return resets
}

// resetFlow returns a reset for the caller of a flow.
func (e *Engine) resetFlow(key flowKey, f *flow) Verdict {
	p := Packet{Caller: key.caller, Service: key.service, Ack: f.progress.acked}
	return Verdict{To: key.caller, Bytes: e.codec.AppendReset(nil, p), Reset: true}
}
