package entry

import (
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/pace"
)

// logPace logs that a server's pace begins or ends.
func (d *Daemon) logPace(c pace.Change) {
	server, reason := zap.String("server", c.Name), zap.String("reason", c.Reason)
	if c.Paced {
		d.options.Metrics.Count(metrics.PacesStarted, 1)
		d.options.Log.Log(events.PaceStarted, server, reason)
		return
	}
	d.options.Metrics.Count(metrics.PacesEnded, 1)
	d.options.Log.Log(events.PaceEnded, server, reason, zap.Duration("took", c.Took))
}
