package balancer

import (
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

// overloadInterval is the shortest time between two events of one kind, so that
// a flood does not fill the log.
const overloadInterval = time.Minute

// overload turns growing refusal counters into events.
type overload struct {
	event   events.Event
	reason  metrics.Reason
	seen    int64
	lastLog time.Time
}

func newOverloads() []*overload {
	return []*overload{
		{event: events.FlowTableFull, reason: metrics.FlowTableFull},
		{event: events.NewFlowLimited, reason: metrics.NewFlowRate},
	}
}

// check logs the event if flows were refused since the last one.
func (o *overload) check(c *metrics.Counters, log *events.Logger, now time.Time) {
	refused := c.Value(o.reason)
	if refused == o.seen || now.Sub(o.lastLog) < overloadInterval {
		return
	}
	log.Log(o.event, zap.Int64("refused", refused-o.seen))
	o.seen, o.lastLog = refused, now
}
