package cookie

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
)

// flowKey identifies a flow.
type flowKey struct{ caller, service netip.AddrPort }

// flow is what this daemon remembers of a flow whose packets it has seen. The
// cookie in the packets is enough to forward them; the record serves the
// placement and flows that several servers have accepted.
type flow struct {
	server *directory.Server
	route  *directory.Route
	ticket *placement.Ticket
	// established flows have sent a packet after the first one: the server in
	// it is the one that holds the flow.
	established bool
	// ended flows have got the caller's last packet or its reset.
	ended bool
	// askedAck is the caller's acknowledgement number in its request.
	askedAck                    uint32
	asked                       bool
	openedAt, askedAt, lastSeen time.Time
	// placedAt is when the opening packet was sent to the present server.
	placedAt time.Time
}

// Limits of the flow records.
const (
	// maxFlows bounds the records; further flows are forwarded by their cookies
	// alone. One record takes about 300 bytes.
	maxFlows = 100_000
	// openTimeout is how long the opening of a flow may take: callers give up
	// after 1.4 s.
	openTimeout = 1500 * time.Millisecond
	// closedLinger keeps the record of a flow that has ended for late packets.
	closedLinger = 3 * time.Second
	// defaultTimeout is used for routes without a timeout.
	defaultTimeout = 10 * time.Second
)

// expired reports whether the record has served.
func (f *flow) expired(now time.Time) bool {
	idle := now.Sub(f.lastSeen)
	switch {
	case f.ticket == nil:
		return idle > closedLinger
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
