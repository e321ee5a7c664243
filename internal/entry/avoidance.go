package entry

import (
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// logBelief writes a line when a server or a zone begins or ceases to be
// avoided.
func (d *Daemon) logBelief(b placement.AvoidanceChange) {
	log := d.options.Log
	switch {
	case b.Zone != "" && b.Avoided:
		log.Log(events.ZoneUnreachable, zap.String("zone", b.Zone), zap.Duration("for", b.MinDuration))
	case b.Zone != "":
		log.Log(events.ZoneReachable, zap.String("zone", b.Zone))
	case b.Avoided:
		d.options.Metrics.Count(metrics.ServersSuspected, 1)
		log.Log(events.ServerSuspected, d.serverField(b), zap.Duration("for", b.MinDuration))
	default:
		log.Log(events.ServerRecovered, d.serverField(b))
	}
}

func (d *Daemon) serverField(b placement.AvoidanceChange) zap.Field {
	name := ""
	if dir := d.follower.Current(); dir != nil {
		if s := dir.ByCookie(b.Server); s != nil {
			name = s.Name
		}
	}
	return zap.String("server", name)
}
