package cookie

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
)

// flowKey identifies a flow by its two endpoints.
type flowKey struct{ caller, service netip.AddrPort }

// flow is the record of a flow that was opened through this daemon. Packets can
// be forwarded by their cookies alone; the record tracks the request for the
// placement and pins the flow to one server if several have accepted it.
type flow struct {
	server *directory.Server
	route  *directory.Route
	ticket *placement.Ticket
	// established is set by the first packet after the opening one, whose cookie
	// identifies the server that holds the flow.
	established bool
	// ended is set once the caller has sent its last packet or a reset.
	ended bool
	// requestAck is the acknowledgement number in the caller's request, valid
	// if requested is set.
	requestAck                      uint32
	requested                       bool
	openedAt, requestedAt, lastSeen time.Time
	// placedAt is when the opening packet was forwarded to the current server.
	placedAt time.Time
}

// Limits on flow records.
const (
	// maxFlows is the maximum number of records, of about 300 bytes each. Flows
	// beyond it are forwarded by their cookies alone.
	maxFlows = 100_000
	// openTimeout bounds the time to establish a flow. Callers give up after
	// 1.4 s.
	openTimeout = 1500 * time.Millisecond
	// endedFlowTTL is how long the record of a finished flow is kept for late
	// packets.
	endedFlowTTL = 3 * time.Second
	// defaultTimeout is the request timeout of routes that set none.
	defaultTimeout = 10 * time.Second
)

// expired reports whether the record can be deleted.
func (f *flow) expired(now time.Time) bool {
	idle := now.Sub(f.lastSeen)
	switch {
	case f.ticket == nil:
		return idle > endedFlowTTL
	case !f.established:
		return idle > openTimeout
	}
	return idle > f.timeout()
}

func (f *flow) timeout() time.Duration {
	if f.route == nil || f.route.Timeout <= 0 {
		return defaultTimeout
	}
	return f.route.Timeout
}
