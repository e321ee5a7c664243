package balancer

import (
	"time"

	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/peerapi"
)

// serverReporter is a selection.Policy that reports the state of the servers.
type serverReporter interface {
	Servers(now time.Time) []selection.ServerReport
}

// Status returns the state of this daemon.
func (b *Balancer) Status() *peerapi.StatusResponse {
	now := time.Now()
	view := b.members.View()
	status := &peerapi.StatusResponse{
		Self:                 view.Self.Record(),
		TablesVersion:        uint64(b.tables.Version()),
		TablesAgeMs:          uint64(b.tables.Age().Milliseconds()),
		Standing:             b.members.Eligible(now),
		OpenFlows:            uint32(b.flows.Len()),
		SlotsOwned:           uint32(b.engine.SlotsOwned()),
		Counters:             b.counters(),
		Servers:              b.servers(now),
		ControlBytesSent:     uint64(b.metrics.Totals().Value(metrics.ControlBytesSent)),
		ControlBytesReceived: uint64(b.metrics.Totals().Value(metrics.ControlBytesReceived)),
		UptimeMs:             uint64(now.Sub(b.started).Milliseconds()),
	}
	for _, m := range view.Members {
		status.Members = append(status.Members, m.Record())
	}
	return status
}

// counters returns the counters that are not zero.
func (b *Balancer) counters() []*peerapi.Counter {
	var out []*peerapi.Counter
	add := func(prefix string, c *metrics.Counters) {
		for _, name := range c.Names() {
			if v := c.Value(name); v != 0 {
				out = append(out, &peerapi.Counter{Name: prefix + string(name), Value: v})
			}
		}
	}
	add("refused.", b.metrics.Refusals())
	add("retried.", b.metrics.Retries())
	add("total.", b.metrics.Totals())
	return out
}

func (b *Balancer) servers(now time.Time) []*peerapi.ServerStatus {
	reporter, ok := b.policy.(serverReporter)
	if !ok {
		return nil
	}
	var out []*peerapi.ServerStatus
	for _, r := range reporter.Servers(now) {
		out = append(out, &peerapi.ServerStatus{
			Pool: r.Pool, Server: r.Server, ServerId: uint32(r.ID),
			OpenFlows: uint32(r.Flows), Ejected: r.Ejected, Utilisation: r.Utilisation,
		})
	}
	return out
}
