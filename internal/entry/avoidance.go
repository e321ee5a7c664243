package entry

import (
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// logAvoidanceChange logs that a server or a zone starts or ceases to be avoided.
func (d *Daemon) logAvoidanceChange(b placement.AvoidanceChange) {
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

// serverField returns a log field with the name of the server, which is empty if
// the directory does not have it.
func (d *Daemon) serverField(b placement.AvoidanceChange) zap.Field {
	name := ""
	if dir := d.follower.Current(); dir != nil {
		if s := dir.ByCookie(b.Server); s != nil {
			name = s.Name
		}
	}
	return zap.String("server", name)
}
