package balancer

import (
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

// minOverloadInterval is the minimum time between two events of one kind, so that
// a flood does not fill the log.
const minOverloadInterval = time.Minute

// overload logs an event when a refusal counter grows.
type overload struct {
	event    events.Event
	reason   metrics.Reason
	reported int64 // refusals included in earlier events
	lastLog  time.Time
}

func newOverloads() []*overload {
	return []*overload{
		{event: events.FlowTableFull, reason: metrics.FlowTableFull},
		{event: events.NewFlowLimited, reason: metrics.NewFlowRate},
	}
}

// check logs the event if the counter has grown since the last event.
func (o *overload) check(c *metrics.Counters, log *events.Logger, now time.Time) {
	refused := c.Value(o.reason)
	if refused == o.reported || now.Sub(o.lastLog) < minOverloadInterval {
		return
	}
	log.Log(o.event, zap.Int64("refused", refused-o.reported))
	o.reported, o.lastLog = refused, now
}
