package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

// Guards against an overload that is not logged, and against a log line for every
// refused packet of a flood.
func TestOverloadIsLoggedOnceAMinute(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	log, registry := events.New(zap.New(core)), metrics.NewRegistry()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	overloads := newOverloads()
	for second := range 90 {
		for range 100 {
			registry.Refused(metrics.FlowTableFull)
		}
		for _, o := range overloads {
			o.check(registry.Refusals(), log, start.Add(time.Duration(second)*time.Second))
		}
	}
	is.Equal(logs.Len(), 2)
	is.Equal(logs.All()[0].Message, events.FlowTableFull.Message)
	is.Equal(logs.All()[1].ContextMap()["refused"], int64(6000))
}
