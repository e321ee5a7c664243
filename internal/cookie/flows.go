package cookie

import (
	"net/netip"
	"slices"
	"time"

	"knapweedshore.example/internal/admission"
	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
)

// flowKey identifies a flow by its two endpoints.
type flowKey struct{ caller, service netip.AddrPort }

// flow is the record of a flow. Packets can be forwarded by their cookies alone; the record
// tracks the flow's requests for the placement and pins the flow to one server if several
// have accepted it.
type flow struct {
	server *directory.Server
	route  *directory.Route
	ticket *placement.Ticket
	demand admission.Demand
	// established is set by the first packet after the opening one, whose cookie
	// identifies the server that holds the flow.
	established bool
	// adopted is set if the flow was opened through another daemon. Its server is the one of
	// the caller's cookie.
	adopted bool
	// ended is set once the caller has sent its last packet or a reset.
	ended bool
	// contested is set if a second server may have accepted the flow. That server repeats
	// its SYN+ACK for some seconds, and the caller then echoes its cookie.
	contested bool
	// alternates are the other servers to which this daemon has forwarded the opening
	// packet, and opening is the last copy of that packet with the codec's headroom.
	alternates []alternate
	opening    []byte
	progress   progress
	// period is that of the server's evidence in which the flow was last counted.
	period uint64
	// restarted is set if the server has started again since the flow was opened.
	restarted          bool
	openedAt, lastSeen time.Time
	// answer is the answer to the request in progress.
	answer answer
	// placedAt is when the opening packet was forwarded to the current server.
	placedAt time.Time
}

// alternate is a server that may have accepted a flow which is open at another one.
type alternate struct {
	server *directory.Server
	// correctedAt is when the server was last told the cookie of the flow's server.
	correctedAt time.Time
}

// moveTo makes s the flow's server and the previous one an alternate.
func (f *flow) moveTo(s *directory.Server) {
	if f.server != nil && f.server.Cookie != s.Cookie {
		f.contested = true
		f.alternates = slices.DeleteFunc(f.alternates, func(a alternate) bool { return a.server.Cookie == s.Cookie })
		f.alternates = append(f.alternates, alternate{server: f.server})
	}
	f.server = s
}

// refreshServer updates the flow's server from the current directory. A server that has
// restarted under its id may have another address.
func (f *flow) refreshServer(d *directory.Directory) {
	s := d.ByCookie(f.server.Cookie)
	if s == nil || s.Name != f.server.Name {
		return
	}
	// The flow may have been opened to the new process before that was registered.
	opened := f.openedAt.Add(maxClockError).UnixMilli()
	f.restarted = f.restarted || f.server.Started != 0 && s.Started > f.server.Started && s.Started > opened
	f.server = s
}

// Limits on flow records.
const (
	// maxFlows is the maximum number of records, of about 300 bytes each. Flows
	// beyond it are forwarded by their cookies alone.
	maxFlows = 100_000
	// openTimeout bounds the time to establish a flow. Callers give up after
	// 1.4 s.
	openTimeout = 1500 * time.Millisecond
	// crowdedFlows is the number of records from which on those of idle flows are deleted
	// as early as those of finished ones.
	crowdedFlows = maxFlows * 3 / 4
	// endedFlowTTL is how long the record of a finished flow is kept for late packets.
	endedFlowTTL = 3 * time.Second
	// defaultIdleTimeout is how long the record of an idle flow is kept if the configuration
	// does not say when idle flows end.
	defaultIdleTimeout = 15 * time.Second
	// defaultTimeout is the request timeout of routes that set none.
	defaultTimeout = 10 * time.Second
)

// isReusedBy reports whether an opening packet belongs to a new flow from the port of this
// one. Callers give up an opening within openTimeout, so a copy that comes later cannot be
// a retransmission.
func (f *flow) isReusedBy(p Packet, now time.Time) bool {
	return (f.ended || f.adopted) && p.Retransmits == 0 || now.Sub(f.lastSeen) > openTimeout
}

// isAnswerOverdue reports whether the flow's ticket has been open for too long.
func (f *flow) isAnswerOverdue(now time.Time) bool {
	idle := now.Sub(f.lastSeen)
	switch {
	case f.ticket == nil:
		return false
	case !f.established:
		return idle > openTimeout
	}
	return idle > f.timeout()
}

// expired reports whether the record of a flow without a ticket can be deleted. The record
// of a contested flow is kept for as long as the flow may be open, since the caller's
// cookie may be that of the wrong server.
func (f *flow) expired(now time.Time, lifetime, idleTimeout time.Duration) bool {
	switch idle := now.Sub(f.lastSeen); {
	case f.ended || !f.established:
		return idle > endedFlowTTL
	case f.contested:
		return now.Sub(f.openedAt) > lifetime
	default:
		return idle > idleTimeout
	}
}

func (f *flow) timeout() time.Duration {
	if f.route == nil || f.route.Timeout <= 0 {
		return defaultTimeout
	}
	return f.route.Timeout
}
