package cookie

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// freshEnough is the age of the directory up to which an address without a
// route is refused with a reset. With an older one the route may be new, and
// the caller's next copy of the packet may find it.
const freshEnough = time.Second

// DirectorySource is where the engine finds routes and servers.
type DirectorySource interface {
	// Current returns the newest directory, or nil.
	Current() *directory.Directory
	// Age returns how long ago the directory was confirmed to be the newest.
	Age(now time.Time) time.Duration
}

// Engine decides what to do with each packet. It is safe for concurrent use.
type Engine struct {
	codec   Codec
	tables  DirectorySource
	placer  *placement.Placer
	metrics *metrics.Registry
	log     *events.Logger

	mu    sync.Mutex
	flows map[flowKey]*flow
	// last is when the last packet arrived.
	last time.Time
}

// NewEngine returns an engine that knows no flows.
func NewEngine(codec Codec, tables DirectorySource, placer *placement.Placer, m *metrics.Registry, log *events.Logger) *Engine {
	return &Engine{codec: codec, tables: tables, placer: placer, metrics: m, log: log, flows: map[flowKey]*flow{}}
}

// IdleTime returns how long ago the last packet arrived.
func (e *Engine) IdleTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.last)
}

// Verdict says what to do with a packet.
type Verdict struct {
	// To is the server or caller that gets Bytes; an invalid address drops the
	// packet.
	To    netip.AddrPort
	Bytes []byte
	// Reset marks a reset, which goes to the caller.
	Reset bool
}

// Handle decides about a packet that starts after the codec's headroom in b. The
// bytes of the verdict are valid until the next use of b.
func (e *Engine) Handle(b []byte, now time.Time) Verdict { return e.handle(b, now, false) }

// HandleLate decides about a packet that has waited while this daemon stood still.
// Opening packets are dropped: a copy has probably been served through another
// daemon, and a second server's answer would move the caller's cookie.
func (e *Engine) HandleLate(b []byte, now time.Time) Verdict { return e.handle(b, now, true) }

func (e *Engine) handle(b []byte, now time.Time, late bool) Verdict {
	e.metrics.Count(metrics.PacketsIn, 1)
	packet, err := e.codec.Parse(b[e.codec.Headroom():])
	if err != nil {
		return e.refuse(b, packet, &refusal{reason: metrics.Malformed})
	}
	if late && packet.Opens {
		return e.refuse(b, packet, &refusal{reason: metrics.StalePacket})
	}
	d := e.tables.Current()
	if d == nil {
		return e.refuse(b, packet, &refusal{reason: metrics.NoTables})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = now
	decide := e.follow
	if packet.Opens {
		decide = e.open
	}
	server, refused := decide(d, packet, now)
	if refused != nil {
		return e.refuse(b, packet, refused)
	}
	e.codec.Encapsulate(b, server.Number, server.Cookie)
	e.metrics.Count(metrics.PacketsOut, 1)
	return Verdict{To: server.Endpoint, Bytes: b}
}

// refusal says why a packet is not forwarded.
type refusal struct {
	reason metrics.Reason
	// reset tells the caller at once.
	reset bool
}

func (e *Engine) refuse(b []byte, p Packet, r *refusal) Verdict {
	e.metrics.Refused(r.reason)
	if !r.reset || p.Aborts {
		return Verdict{}
	}
	return Verdict{To: p.Caller, Bytes: e.codec.AppendReset(b[:0], p), Reset: true}
}

// open places a new flow, or repeats the placement of one whose opening packet
// is a copy.
func (e *Engine) open(d *directory.Directory, p Packet, now time.Time) (*directory.Server, *refusal) {
	key := flowKey{p.Caller, p.Service}
	f := e.flows[key]
	if f != nil && f.ended && p.Retransmits == 0 {
		f = nil // the caller uses the port again
		delete(e.flows, key)
	}
	if f != nil && f.established {
		// A late copy: the flow's server knows it.
		f.lastSeen = now
		return f.server, nil
	}
	route := d.Route(p.Service)
	if route != nil && f != nil && now.Sub(f.placedAt) < placement.AcceptTimeout {
		// The packet and its copies were read together: the server has had no time
		// to answer.
		return f.server, nil
	}
	if route == nil {
		e.logRefusal(d, p, metrics.NoRoute, now)
		return nil, &refusal{metrics.NoRoute, e.tables.Age(now) <= freshEnough}
	}
	avoid := directory.Cookie(0)
	if f != nil && f.ticket != nil {
		avoid = f.server.Cookie
		e.placer.Abandon(f.ticket)
	}
	pool := route.Pool(uint64(p.Caller.Port()))
	candidates := d.Candidates(pool)
	server, ticket := e.placer.Choose(placement.Request{Route: route, Candidates: candidates, Avoid: avoid, Now: now})
	if server == nil {
		e.logRefusal(d, p, metrics.NoUsableServer, now)
		return nil, &refusal{metrics.NoUsableServer, !now.Before(d.SettledAt)}
	}
	e.metrics.Count(metrics.FlowsOpened, 1)
	if avoid != 0 && avoid != server.Cookie {
		e.metrics.Count(metrics.FlowsMoved, 1)
	}
	e.log.Log(events.FlowPlaced, zap.Stringer("caller", p.Caller), zap.Stringer("service", p.Service),
		zap.String("server", server.Name), zap.Int("candidates", len(candidates)), zap.Duration("expected", ticket.ExpectedLatency()),
		zap.Int("copy", p.Retransmits), zap.Uint64("revision", d.Revision), zap.Duration("age", e.tables.Age(now)))
	if f == nil {
		f = e.remember(key, now)
	}
	if f == nil {
		e.placer.Abandon(ticket)
		return server, nil
	}
	f.server, f.route, f.ticket, f.lastSeen, f.placedAt = server, route, ticket, now, now
	return server, nil
}

// remember adds the record of a flow, or returns nil if there are too many.
func (e *Engine) remember(key flowKey, now time.Time) *flow {
	if len(e.flows) >= maxFlows {
		e.metrics.Refused(metrics.FlowTableFull)
		return nil
	}
	f := &flow{openedAt: now}
	e.flows[key] = f
	return f
}

func (e *Engine) logRefusal(d *directory.Directory, p Packet, reason metrics.Reason, now time.Time) {
	e.log.Log(events.FlowRefused, zap.Stringer("caller", p.Caller), zap.Stringer("service", p.Service),
		zap.String("reason", string(reason)), zap.Uint64("config_version", d.Config.Version),
		zap.Uint64("revision", d.Revision), zap.Duration("age", e.tables.Age(now)))
}

// follow finds the server of a flow's later packet.
func (e *Engine) follow(d *directory.Directory, p Packet, now time.Time) (*directory.Server, *refusal) {
	key := flowKey{p.Caller, p.Service}
	f := e.flows[key]
	if f == nil {
		return e.adopt(d, p)
	}
	f.lastSeen = now
	if !f.established {
		e.establish(d, f, p, now)
	}
	e.observe(f, p, now)
	return f.server, nil
}

// adopt forwards a packet of a flow that another daemon has placed.
func (e *Engine) adopt(d *directory.Directory, p Packet) (*directory.Server, *refusal) {
	if p.Cookie == 0 {
		return nil, &refusal{metrics.NoCookie, false}
	}
	server := d.ByCookie(p.Cookie)
	if server == nil {
		return nil, &refusal{metrics.UnknownCookie, false}
	}
	return server, nil
}

// establish fixes the server of a flow by the cookie in the first packet after
// the opening one: the caller has acknowledged that server's answer. Answers
// of other servers that arrive later change the cookie but not the flow.
func (e *Engine) establish(d *directory.Directory, f *flow, p Packet, now time.Time) {
	f.established = true
	if p.Cookie != 0 && p.Cookie != f.server.Cookie {
		if s := d.ByCookie(p.Cookie); s != nil {
			f.server = s
		}
	}
	if f.ticket == nil {
		return
	}
	if f.ticket.Server() != f.server.Cookie {
		e.placer.Abandon(f.ticket)
		f.ticket = nil
		return
	}
	e.metrics.Observe(metrics.FlowAccepted, now.Sub(f.openedAt))
	e.placer.MarkAnswered(f.ticket, now)
}

// observe follows the request and the response in the caller's packets.
func (e *Engine) observe(f *flow, p Packet, now time.Time) {
	f.ended = f.ended || p.Ends || p.Aborts
	switch {
	case f.ticket == nil:
	case p.Aborts:
		e.placer.Abandon(f.ticket)
		f.ticket = nil
	case p.PayloadLen > 0 && !f.asked:
		f.asked, f.askedAck, f.askedAt = true, p.Ack, now
		e.placer.MarkRequestSent(f.ticket, now)
	case f.asked && (p.Ack != f.askedAck || p.Ends):
		e.metrics.Observe(metrics.RequestAnswered, now.Sub(f.askedAt))
		e.placer.Done(f.ticket, now)
		f.ticket = nil
	}
}

// Expire forgets the flows that have ended or were given up.
func (e *Engine) Expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, f := range e.flows {
		if !f.expired(now) {
			continue
		}
		if f.ticket != nil {
			e.placer.Abandon(f.ticket)
			e.metrics.Count(metrics.FlowsUnanswered, 1)
			e.log.Log(events.FlowUnanswered, zap.Stringer("caller", key.caller), zap.Stringer("service", key.service),
				zap.String("server", f.server.Name), zap.Bool("accepted", f.established), zap.Bool("asked", f.asked),
				zap.Duration("silent_for", now.Sub(f.lastSeen)))
		}
		delete(e.flows, key)
	}
}

// FlowCount returns how many flows are remembered.
func (e *Engine) FlowCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}
