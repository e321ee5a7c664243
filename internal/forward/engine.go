// Package forward decides what happens to each packet: which member owns its
// flow, which backend server the flow is on, and whether it is refused.
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

// MaxHops is how often balancers may pass a packet on among themselves: one to
// the owner, and three each for two predecessors of a slot that has moved twice
// within PredecessorPeriod. Views that disagree use the same hops.
const MaxHops = 7

// askHops are the hops that asking one more holder takes: to it, back here, and
// from here to the owner. Holders whose views differ may name each other, so
// the search must end with an answer before the hop limit drops the packet.
const askHops = 3

// MoveDelay is how long an opening TCP flow waits for its server before the
// caller's next SYN may go to another one.
const MoveDelay = time.Second

// ReceivedExceptions finds exceptions that other owners have sent here.
type ReceivedExceptions interface {
	Lookup(fingerprint uint64) (exception.Entry, bool)
	Remove(fingerprint uint64)
}

// LocalExceptions makes this daemon's exceptions known to its backup.
type LocalExceptions interface {
	HasBudget(now time.Time) bool
	Add(e exception.Entry, now time.Time)
	Close(fingerprint uint64)
}

// Config holds what an Engine works with.
type Config struct {
	Flows       *flow.Table
	Policy      selection.Policy
	Received    ReceivedExceptions
	Local       LocalExceptions
	Metrics     *metrics.Registry
	Log         *events.Logger
	Fabrics     []netip.AddrPort
	NewFlowRate rate.Limit // new flows per second
	// Eligible reports whether this daemon may decide about flows at a time.
	// Nil stands for always.
	Eligible func(now time.Time) bool
}

// Engine handles packets. Its methods are safe for concurrent use.
type Engine struct {
	flows   *flow.Table
	policy  selection.Policy
	held    ReceivedExceptions
	own     LocalExceptions
	metrics *metrics.Registry
	// Counters of the packet path, looked up once.
	packetsIn, packetsOut, packetsForwarded *atomic.Int64
	log                                     *events.Logger
	fabrics                                 []netip.AddrPort
	isFabric                                map[netip.Addr]struct{}
	newFlows                                *rate.Limiter
	standing                                func(now time.Time) bool
	view                                    atomic.Pointer[View]
	tables                                  atomic.Pointer[tableView]
}

// New returns an Engine that refuses packets until it has a view and tables.
func New(c Config) *Engine {
	e := &Engine{
		flows: c.Flows, policy: c.Policy, held: c.Received, own: c.Local,
		metrics: c.Metrics, log: c.Log, fabrics: c.Fabrics,
		isFabric: make(map[netip.Addr]struct{}),
		newFlows: rate.NewLimiter(c.NewFlowRate, int(c.NewFlowRate)), standing: c.Eligible,
	}
	if e.standing == nil {
		e.standing = func(time.Time) bool { return true }
	}
	totals := c.Metrics.Totals()
	e.packetsIn = totals.Counter(metrics.PacketsIn)
	e.packetsOut = totals.Counter(metrics.PacketsOut)
	e.packetsForwarded = totals.Counter(metrics.PacketsForwarded)
	for _, f := range c.Fabrics {
		e.isFabric[f.Addr()] = struct{}{}
	}
	return e
}

// SetView replaces the picture of the members.
func (e *Engine) SetView(v *View) { e.view.Store(v) }

// Handle decides about one packet and appends what is to be sent to out. The
// packet may be rewritten in place.
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

// admit checks the sender, parses the packet and finds its direction.
func (e *Engine) admit(j *job) (metrics.Reason, bool) {
	if j.view == nil {
		return metrics.NoStanding, false
	}
	if !e.trusted(j) {
		return metrics.UnknownSource, false
	}
	if err := packet.Parse(j.in.Inner, &j.info); err != nil {
		return refusalOf(err), false
	}
	j.in.Inner = j.in.Inner[:j.info.Length]
	if j.tables == nil {
		return metrics.NoTables, false
	}
	return e.orient(j)
}

// trusted accepts plain packets from the fabric and packets with a hop option
// from members. The fabric's source port varies by flow (RFC 8926, section
// 3.3). A forged hop option can do no more than a plain packet.
func (e *Engine) trusted(j *job) bool {
	if j.in.Hop.Kind == carrier.HopNone {
		if j.in.From.Addr() == e.fabrics[0].Addr() {
			return true
		}
		_, ok := e.isFabric[j.in.From.Addr()]
		return ok
	}
	_, ok := j.view.Peers[j.in.From]
	return ok
}

func refusalOf(err error) metrics.Reason {
	switch r := err.(type) {
	case *packet.RefusalError:
		return r.Reason
	case *selection.RefusalError:
		return r.Reason
	}
	return metrics.Malformed
}

// orient finds out which end of the packet is the caller.
func (e *Engine) orient(j *job) (metrics.Reason, bool) {
	// The embedded packet of an ICMP error travels against the error.
	if j.info.ICMPError {
		return e.orientError(j)
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

// dispatch decides here or sends the packet to the member that should.
func (e *Engine) dispatch(j *job) (metrics.Reason, bool) {
	if j.in.Hop.Kind == carrier.HopPredecessor {
		return e.asPredecessor(j)
	}
	if j.view.Eligible && !e.standing(j.now) {
		// The pause is so recent that the view does not show it yet.
		return metrics.NoStanding, false
	}
	returned := j.in.Hop.Kind == carrier.HopUnknown || j.in.Hop.Kind == carrier.HopKnown
	if j.view.owns(j.slot) {
		j.asked = returned
		return e.decide(j)
	}
	to, ok := j.view.ownerAddress(j.slot)
	if !ok {
		return metrics.NoOwner, false
	}
	switch {
	case returned && !j.view.Eligible:
		return metrics.NoStanding, false
	case returned:
		// This daemon has asked its own predecessor for another one.
		return e.passHop(j, to, j.in.Hop)
	case !j.view.Eligible:
		// The others may still take this daemon for the owner. Asked as a
		// predecessor, they do not send the packet back before they have looked
		// for the flow.
		return e.pass(j, to, carrier.HopPredecessor)
	}
	return e.pass(j, to, carrier.HopOwner)
}

// asPredecessor answers a new owner that does not know a flow. It needs no
// standing: a flow that is known here stays where it is.
func (e *Engine) asPredecessor(j *job) (metrics.Reason, bool) {
	if j.view.owns(j.slot) {
		return e.decide(j)
	}
	if hop, ok := e.lookUp(j); ok {
		if j.response || j.info.ICMPError {
			return e.decide(j)
		}
		return e.passHop(j, j.in.From, hop)
	}
	if to, ok := j.view.earlierHolder(j.slot, j.now); ok && int(j.in.Hop.Count)+askHops <= MaxHops {
		return e.pass(j, to, carrier.HopPredecessor)
	}
	return e.pass(j, j.in.From, carrier.HopUnknown)
}

// pass sends the packet unchanged to another member.
func (e *Engine) pass(j *job, to netip.AddrPort, kind carrier.HopKind) (metrics.Reason, bool) {
	return e.passHop(j, to, carrier.Hop{Kind: kind})
}

func (e *Engine) passHop(j *job, to netip.AddrPort, hop carrier.Hop) (metrics.Reason, bool) {
	hop.Count = j.in.Hop.Count + 1
	if hop.Count > MaxHops {
		return metrics.HopLimit, false
	}
	e.packetsForwarded.Add(1)
	j.out.send(j.in.Inner, to, hop)
	return "", true
}

// lookUp returns what this daemon knows of the flow, for the new owner.
func (e *Engine) lookUp(j *job) (carrier.Hop, bool) {
	shard := e.flows.Shard(j.slot)
	shard.Lock()
	defer shard.Unlock()
	if j.response {
		known := shard.Reverse(j.caller, j.info.Protocol, j.info.Src) != nil || e.heldResponse(j) != nil
		return carrier.Hop{}, known
	}
	if f := shard.Forward(j.caller, j.address()); f != nil {
		return carrier.Hop{Kind: carrier.HopKnown, Server: uint32(f.Server()), Confirmed: f.Has(flow.Confirmed)}, true
	}
	held, ok := e.held.Lookup(flow.Fingerprint(j.caller, j.address()))
	return carrier.Hop{Kind: carrier.HopKnown, Server: uint32(held.Server), Confirmed: true}, ok
}

// decide handles the packet as the flow's owner.
func (e *Engine) decide(j *job) (metrics.Reason, bool) {
	shard := e.flows.Shard(j.slot)
	shard.Lock()
	defer shard.Unlock()
	switch {
	case j.info.ICMPError:
		return e.deliverError(j, shard)
	case j.response:
		return e.response(j, shard)
	}
	return e.request(j, shard)
}

// deliver sends the packet to the fabric.
func (e *Engine) deliver(j *job) (metrics.Reason, bool) {
	e.packetsOut.Add(1)
	j.out.send(j.in.Inner, e.fabric(j), carrier.Hop{})
	return "", true
}

// fabric returns the fabric address that the packet's slot selects.
func (e *Engine) fabric(j *job) netip.AddrPort {
	return e.fabrics[int(j.slot)%len(e.fabrics)]
}
