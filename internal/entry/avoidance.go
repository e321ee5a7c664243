package entry

import (
	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
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
		log.Log(events.ServerSuspected, d.serverField(b.Server), zap.Duration("for", b.MinDuration))
	default:
		log.Log(events.ServerRecovered, d.serverField(b.Server))
	}
}

// logOutlierChange logs that a server starts or ceases to count as failing.
func (d *Daemon) logOutlierChange(c placement.OutlierChange) {
	if !c.Failing {
		d.options.Log.Log(events.ServerServes, d.serverField(c.Server))
		return
	}
	d.options.Metrics.Count(metrics.ServersFailing, 1)
	d.options.Log.Log(events.ServerFails, d.serverField(c.Server), zap.Float64("share", c.Share), zap.Float64("pool_share", c.PoolShare),
		zap.Float64("requests", c.Requests), zap.Int("omitted", c.Omitted))
}

// serverField returns a log field with the name of the server, which is empty if
// the directory does not have it.
func (d *Daemon) serverField(c directory.Cookie) zap.Field {
	return zap.String("server", d.serverName(c))
}

// serverName returns the name of a server, or "" if the directory does not have it.
func (d *Daemon) serverName(c directory.Cookie) string {
	if dir := d.follower.Current(); dir != nil {
		if s := dir.ByCookie(c); s != nil {
			return s.Name
		}
	}
	return ""
}
