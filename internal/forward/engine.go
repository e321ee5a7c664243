// Package forward decides what happens to each packet: which member owns its
// flow, which backend server the flow is on, and whether the packet is refused.
package forward

import (
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/selection"
)

// MaxHops is the maximum number of times that balancers may forward a packet
// among themselves: one hop to the owner, and three for each of two
// predecessors of a slot that has moved twice within PredecessorPeriod. Hops
// caused by differing views of the members count as well.
const MaxHops = 7

// predecessorQueryHops is the number of hops that a query to one more former
// holder takes: to the holder, back here, and from here to the owner. Holders
// with differing views may forward a query back and forth, so it must be answered
// before the packet exceeds MaxHops and is dropped.
const predecessorQueryHops = 3

// MoveDelay is how long the server of an opening TCP flow may leave a SYN
// unanswered before the caller's next SYN may go to another server. An adopted
// UDP flow waits as long for a packet from its server.
const MoveDelay = time.Second

// ReceivedExceptions looks up exceptions that other owners have sent here.
type ReceivedExceptions interface {
	Lookup(fingerprint uint64) (exception.Entry, bool)
	Remove(fingerprint uint64)
}

// LocalExceptions sends the exceptions of this daemon to its backup.
type LocalExceptions interface {
	// HasBudget reports whether another exception that can be avoided is
	// within the budget.
	HasBudget(now time.Time) bool
	Add(e exception.Entry, now time.Time)
	Close(fingerprint uint64)
}

// Config holds the dependencies and settings of an Engine.
type Config struct {
	Flows    *flow.Table
	Policy   selection.Policy
	Received ReceivedExceptions
	Local    LocalExceptions
	Metrics  *metrics.Registry
	Log      *events.Logger
	// Fabrics are the addresses of the fabric, the network that connects callers,
	// balancers and backend servers. The slot of a packet selects one of them.
	Fabrics     []netip.AddrPort
	NewFlowRate rate.Limit // new flows per second
	// Eligible reports whether this daemon may open flows and decide about them
	// at the given time. Nil means that it always may.
	Eligible func(now time.Time) bool
}

// Engine handles packets. Its methods are safe for concurrent use.
type Engine struct {
	flows    *flow.Table
	policy   selection.Policy
	received ReceivedExceptions
	local    LocalExceptions
	metrics  *metrics.Registry
	// Counters of the packet path, looked up once by New.
	packetsIn, packetsOut, packetsForwarded *atomic.Int64
	log                                     *events.Logger
	fabrics                                 []netip.AddrPort
	fabricAddrs                             map[netip.Addr]struct{}
	newFlowLimiter                          *rate.Limiter
	eligible                                func(now time.Time) bool
	view                                    atomic.Pointer[View]
	tables                                  atomic.Pointer[tableView]
}

// New returns an Engine that refuses all packets until SetView and ApplyTables
// have been called.
func New(c Config) *Engine {
	e := &Engine{
		flows: c.Flows, policy: c.Policy, received: c.Received, local: c.Local,
		metrics: c.Metrics, log: c.Log, fabrics: c.Fabrics,
		fabricAddrs:    make(map[netip.Addr]struct{}),
		newFlowLimiter: rate.NewLimiter(c.NewFlowRate, int(c.NewFlowRate)), eligible: c.Eligible,
	}
	if e.eligible == nil {
		e.eligible = func(time.Time) bool { return true }
	}
	totals := c.Metrics.Totals()
	e.packetsIn = totals.Counter(metrics.PacketsIn)
	e.packetsOut = totals.Counter(metrics.PacketsOut)
	e.packetsForwarded = totals.Counter(metrics.PacketsForwarded)
	for _, f := range c.Fabrics {
		e.fabricAddrs[f.Addr()] = struct{}{}
	}
	return e
}

// SetView replaces the view of the members.
func (e *Engine) SetView(v *View) { e.view.Store(v) }

// Handle processes one packet and appends the packets to send to out. It may
// rewrite the packet in place.
func (e *Engine) Handle(in *carrier.Incoming, out *Output, now time.Time) {
	e.packetsIn.Add(1)
	j := &out.job
	*j = job{in: in, out: out, now: now, view: e.view.Load(), tables: e.tables.Load()}
	if reason, ok := e.admit(j); !ok {
		e.metrics.Refused(reason)
		return
	}
	if reason, ok := e.dispatch(j); !ok {
		e.metrics.Refused(reason)
	}
}

// admit checks the sender, parses the packet and determines its direction.
func (e *Engine) admit(j *job) (metrics.Reason, bool) {
	if j.view == nil {
		return metrics.NoStanding, false
	}
	if !e.senderAllowed(j) {
		return metrics.UnknownSource, false
	}
	if err := packet.Parse(j.in.Inner, &j.info); err != nil {
		return refusalOf(err), false
	}
	j.in.Inner = j.in.Inner[:j.info.Length]
	if j.tables == nil {
		return metrics.NoTables, false
	}
	return e.classify(j)
}

// senderAllowed accepts packets without a hop option from the fabric, and
// packets with one from members. It ignores the fabric's source port, which
// varies by flow (RFC 8926, section 3.3). A forged hop option can do no more
// harm than a plain packet.
func (e *Engine) senderAllowed(j *job) bool {
	if j.in.Hop.Kind == carrier.HopNone {
		if j.in.From.Addr() == e.fabrics[0].Addr() {
			return true
		}
		_, ok := e.fabricAddrs[j.in.From.Addr()]
		return ok
	}
	_, ok := j.view.Peers[j.in.From]
	return ok
}

// refusalOf returns the reason that a RefusalError carries, or Malformed.
func refusalOf(err error) metrics.Reason {
	switch r := err.(type) {
	case *packet.RefusalError:
		return r.Reason
	case *selection.RefusalError:
		return r.Reason
	}
	return metrics.Malformed
}

// classify determines the packet's direction, caller and slot.
func (e *Engine) classify(j *job) (metrics.Reason, bool) {
	// The packet embedded in an ICMP error travelled in the other direction.
	if j.info.ICMPError {
		return e.classifyError(j)
	}
	switch {
	case j.tables.isService(j.address()):
		j.caller = j.info.Src
	case j.tables.isEndpoint(j.info.Src):
		j.caller, j.response = j.info.Dst, true
	default:
		return metrics.NoRoute, false
	}
	j.slot = owner.Slot(j.info.Protocol, j.caller)
	return "", true
}

// dispatch handles the packet as the owner or predecessor of its slot, or
// forwards it to the member that should handle it.
func (e *Engine) dispatch(j *job) (metrics.Reason, bool) {
	if j.in.Hop.Kind == carrier.HopPredecessor {
		return e.handleAsPredecessor(j)
	}
	if j.view.Eligible && !e.eligible(j.now) {
		// This daemon has just lost its eligibility, for instance after a pause
		// of the VM, and the view does not show it yet.
		return metrics.NoStanding, false
	}
	returned := j.in.Hop.Kind == carrier.HopUnknown || j.in.Hop.Kind == carrier.HopKnown
	if j.view.owns(j.slot) {
		j.predecessorAnswered = returned
		return e.handleAsOwner(j)
	}
	to, ok := j.view.ownerAddress(j.slot)
	if !ok {
		return metrics.NoOwner, false
	}
	switch {
	case returned && !j.view.Eligible:
		return metrics.NoStanding, false
	case returned:
		// The answer to a query that this daemon, a predecessor itself, sent to
		// an earlier holder: it goes on to the owner.
		return e.forwardWithHop(j, to, j.in.Hop)
	case !j.view.Eligible:
		// Other members may still regard this daemon as the owner and would
		// send the packet back. As predecessors, they look for the flow first.
		return e.forward(j, to, carrier.HopPredecessor)
	}
	return e.forward(j, to, carrier.HopOwner)
}

// handleAsPredecessor answers a new owner that does not know a flow. This needs
// no eligibility, because a flow that is known here stays on its server.
func (e *Engine) handleAsPredecessor(j *job) (metrics.Reason, bool) {
	if j.view.owns(j.slot) {
		return e.handleAsOwner(j)
	}
	if hop, ok := e.lookUpFlow(j); ok {
		if j.response || j.info.ICMPError {
			return e.handleAsOwner(j)
		}
		return e.forwardWithHop(j, j.in.From, hop)
	}
	if to, ok := j.view.earlierHolder(j.slot, j.now); ok && int(j.in.Hop.Count)+predecessorQueryHops <= MaxHops {
		return e.forward(j, to, carrier.HopPredecessor)
	}
	return e.forward(j, j.in.From, carrier.HopUnknown)
}

// forward sends the packet unchanged to another member, with a hop option of
// this kind.
func (e *Engine) forward(j *job, to netip.AddrPort, kind carrier.HopKind) (metrics.Reason, bool) {
	return e.forwardWithHop(j, to, carrier.Hop{Kind: kind})
}

// forwardWithHop sends the packet unchanged to another member, with this hop
// option and the next hop count.
func (e *Engine) forwardWithHop(j *job, to netip.AddrPort, hop carrier.Hop) (metrics.Reason, bool) {
	hop.Count = j.in.Hop.Count + 1
	if hop.Count > MaxHops {
		return metrics.HopLimit, false
	}
	e.packetsForwarded.Add(1)
	j.out.send(j.in.Inner, to, hop)
	return "", true
}

// lookUpFlow returns the hop option that tells the new owner what this daemon
// knows about the flow, and whether it knows the flow at all.
func (e *Engine) lookUpFlow(j *job) (carrier.Hop, bool) {
	shard := e.flows.Shard(j.slot)
	shard.Lock()
	defer shard.Unlock()
	if j.response {
		known := shard.Reverse(j.caller, j.info.Protocol, j.info.Src) != nil || e.exceptionForResponse(j) != nil
		return carrier.Hop{}, known
	}
	if f := shard.Forward(j.caller, j.address()); f != nil {
		return carrier.Hop{Kind: carrier.HopKnown, Server: uint32(f.Server()), Confirmed: f.Has(flow.Confirmed)}, true
	}
	received, ok := e.received.Lookup(flow.Fingerprint(j.caller, j.address()))
	return carrier.Hop{Kind: carrier.HopKnown, Server: uint32(received.Server), Confirmed: true}, ok
}

// handleAsOwner handles the packet as the owner of its slot.
func (e *Engine) handleAsOwner(j *job) (metrics.Reason, bool) {
	shard := e.flows.Shard(j.slot)
	shard.Lock()
	defer shard.Unlock()
	switch {
	case j.info.ICMPError:
		return e.deliverError(j, shard)
	case j.response:
		return e.handleResponse(j, shard)
	}
	return e.handleRequest(j, shard)
}

// deliver sends the packet to the fabric.
func (e *Engine) deliver(j *job) (metrics.Reason, bool) {
	e.packetsOut.Add(1)
	j.out.send(j.in.Inner, e.fabric(j), carrier.Hop{})
	return "", true
}

// fabric returns the fabric address that is used for the packet's slot.
func (e *Engine) fabric(j *job) netip.AddrPort {
	return e.fabrics[int(j.slot)%len(e.fabrics)]
}
