package cookie

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/admission"
	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// maxAgeForReset is the maximum age of the directory at which a packet to an
// address without a route is answered with a reset. An older directory may lack
// a new route, so the packet is dropped and the caller's retransmission may
// find the route.
const maxAgeForReset = time.Second

// DirectorySource provides the current directory of routes and servers.
type DirectorySource interface {
	// Current returns the latest directory, or nil if there is none yet.
	Current() *directory.Directory
	// Age returns the time since the directory was last confirmed to be up to
	// date.
	Age(now time.Time) time.Duration
}

// Engine decides where each packet goes. It is safe for concurrent use.
type Engine struct {
	codec       Codec
	directories DirectorySource
	placer      *placement.Placer
	outcomes    *evidence.OutcomeTally
	norms       *evidence.AnswerNorms
	admission   *admission.Controller
	metrics     *metrics.Registry
	log         *events.Logger
	// flowLifetime is the maximum lifetime of a flow.
	flowLifetime time.Duration
	// silences is nil if flows of servers that are gone are not reset.
	silences *evidence.Silences

	mu    sync.Mutex
	flows map[flowKey]*flow
	// longRoutes are the routes on whose flows callers have sent more than one request.
	longRoutes map[string]bool
	// lastDirectory is that of the last call of Expire.
	lastDirectory *directory.Directory
	// lastPacketAt is when the last packet arrived.
	lastPacketAt time.Time
}

// Options configures an Engine.
type Options struct {
	Codec       Codec
	Directories DirectorySource
	Placer      *placement.Placer
	// Outcomes and Norms get the results of requests and the lengths of answers; nil for
	// ones of the engine's own.
	Outcomes *evidence.OutcomeTally
	Norms    *evidence.AnswerNorms
	// Admission decides whether a new flow is served; nil stands for all.
	Admission *admission.Controller
	// FlowLifetime is the maximum lifetime of a flow.
	FlowLifetime time.Duration
	// Silences is the evidence that servers are gone. If it is nil, open flows are not reset.
	Silences *evidence.Silences
	Metrics  *metrics.Registry
	Log      *events.Logger
}

// NewEngine returns an Engine without flows.
func NewEngine(o Options) *Engine {
	if o.Outcomes == nil {
		o.Outcomes = evidence.NewOutcomeTally("", nil)
	}
	if o.Norms == nil {
		o.Norms = evidence.NewAnswerNorms()
	}
	if o.Admission == nil {
		o.Admission = admission.New(nil, 0)
	}
	return &Engine{
		codec: o.Codec, directories: o.Directories, placer: o.Placer, admission: o.Admission, outcomes: o.Outcomes, norms: o.Norms, silences: o.Silences,
		flowLifetime: o.FlowLifetime, metrics: o.Metrics, log: o.Log, flows: map[flowKey]*flow{}, longRoutes: map[string]bool{},
	}
}

// IdleTime returns the time since the last packet arrived.
func (e *Engine) IdleTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastPacketAt)
}

// Verdict is the decision about one packet.
type Verdict struct {
	// To is the server or caller to send Bytes to. The packet is dropped if To
	// is not valid.
	To    netip.AddrPort
	Bytes []byte
	// Reset is set if Bytes is a reset for the caller.
	Reset bool
	// Corrections are further packets to send, to servers that may have accepted the
	// flow without being the flow's server.
	Corrections []Datagram
}

// Datagram is a packet and its destination.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// Handle decides about the packet in b, which starts after the codec's headroom.
// The bytes of the verdict are valid until b is used again.
func (e *Engine) Handle(b []byte, now time.Time) Verdict { return e.handle(b, now, false) }

// HandleLate is like Handle for a packet that was queued while this daemon was
// paused. It drops opening packets: another daemon has probably forwarded a
// retransmission already, and the answer of a second server would change the
// caller's cookie.
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
	d := e.directories.Current()
	if d == nil {
		return e.refuse(b, packet, &refusal{reason: metrics.NoTables})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastPacketAt = now
	var server *directory.Server
	var refused *refusal
	var corrections []Datagram
	if packet.Opens {
		server, refused = e.open(d, packet, b, now)
	} else {
		server, corrections, refused = e.continueFlow(d, packet, now)
	}
	if refused != nil {
		return e.refuse(b, packet, refused)
	}
	e.codec.Encapsulate(b, server.Number, server.Cookie)
	e.metrics.Count(metrics.PacketsOut, 1)
	return Verdict{To: server.Endpoint, Bytes: b, Corrections: corrections}
}

// refusal describes why a packet is not forwarded.
type refusal struct {
	reason metrics.Reason
	// reset requests that the caller gets a reset instead of a timeout.
	reset bool
}

func (e *Engine) refuse(b []byte, p Packet, r *refusal) Verdict {
	e.metrics.Refused(r.reason)
	if !r.reset || p.Aborts {
		return Verdict{}
	}
	return Verdict{To: p.Caller, Bytes: e.codec.AppendReset(b[:0], p), Reset: true}
}

// open chooses a server for a new flow. For a retransmitted opening packet it
// returns the server chosen before, or another one if possible when that server
// has not answered in time. The packet with its headroom is in raw.
func (e *Engine) open(d *directory.Directory, p Packet, raw []byte, now time.Time) (*directory.Server, *refusal) {
	key := flowKey{p.Caller, p.Service}
	f := e.flows[key]
	if f != nil && f.isReusedBy(p, now) {
		e.forget(key, f, now)
		f = nil
	}
	if f != nil && f.established {
		// A late retransmission: the flow's server has already accepted it.
		f.lastSeen = now
		return e.copyTo(d, f.server)
	}
	route := d.Route(p.Service)
	if route != nil && f != nil && now.Sub(f.placedAt) < placement.AcceptTimeout {
		// The original and its retransmissions were read in one batch: the
		// server has had no time to answer yet.
		return e.copyTo(d, f.server)
	}
	if route == nil {
		e.logRefusal(d, p, metrics.NoRoute, now)
		return nil, &refusal{metrics.NoRoute, e.directories.Age(now) <= maxAgeForReset}
	}
	avoid := directory.Cookie(0)
	if f != nil && f.ticket != nil {
		avoid = f.server.Cookie
		e.placer.Fail(f.ticket, now)
	}
	pool := route.Pool(uint64(p.Caller.Port()))
	candidates := e.withoutGone(d.Candidates(pool))
	if f == nil && !e.admit(route, pool, candidates, p, now) {
		return nil, &refusal{metrics.NoRoom, true}
	}
	server, ticket := e.placer.Choose(placement.Request{Route: route, Candidates: candidates, Avoid: avoid, ColdPerSecond: d.Pool(pool).ColdPerSecond, Now: now})
	if server == nil {
		reason := metrics.NoUsableServer
		switch {
		case len(candidates) > 0:
			reason = metrics.ColdLimit
		case d.PoolEvacuated(pool):
			reason = metrics.PoolEvacuated
		}
		e.logRefusal(d, p, reason, now)
		return nil, &refusal{reason, len(candidates) > 0 || !now.Before(d.SettledAt)}
	}
	e.metrics.Count(metrics.FlowsOpened, 1)
	if ticket.Trial() {
		e.metrics.Count(metrics.TrialFlows, 1)
	}
	if avoid != 0 && avoid != server.Cookie {
		e.metrics.Count(metrics.FlowsMoved, 1)
	}
	e.log.Log(events.FlowPlaced, zap.Stringer("caller", p.Caller), zap.Stringer("service", p.Service),
		zap.String("server", server.Name), zap.Int("candidates", len(candidates)), zap.Duration("expected", ticket.ExpectedLatency()),
		zap.Int("copy", p.Retransmits), zap.Uint64("era", d.Position.Era), zap.Uint64("revision", d.Position.Revision), zap.Duration("age", e.directories.Age(now)))
	if f == nil {
		f = e.addFlow(key, now)
	}
	if f == nil {
		e.placer.Abandon(ticket)
		return server, nil
	}
	if p.Retransmits > 0 {
		// Another daemon may have forwarded an earlier copy to another server.
		f.contested = f.contested || f.server == nil
		f.opening = append(f.opening[:0], raw...)
	}
	f.moveTo(server)
	f.route, f.ticket, f.lastSeen, f.placedAt = route, ticket, now, now
	e.admission.Begin(&f.demand, route, pool, now)
	return server, nil
}

// copyTo returns the server for a copy of an opening packet that it has got before, unless
// its zone has been evacuated meanwhile. The copy is dropped then: the server has accepted
// the flow or is about to, and a second one would contest it.
func (e *Engine) copyTo(d *directory.Directory, s *directory.Server) (*directory.Server, *refusal) {
	if d.Evacuated(s.Zone) {
		return nil, &refusal{metrics.EvacuatedCopy, false}
	}
	return s, nil
}

// admit reports whether to serve a new flow. A copy of an opening packet is always served,
// since a server may have accepted the original.
func (e *Engine) admit(route *directory.Route, pool string, candidates []*directory.Server, p Packet, now time.Time) bool {
	if p.Retransmits > 0 {
		return true
	}
	d := e.admission.Admit(admission.Request{Route: route, Pool: pool, Candidates: candidates, Caller: p.Caller.Addr(), Now: now})
	if d.Refused {
		e.log.Log(events.FlowNotAdmitted, zap.Stringer("caller", p.Caller), zap.Stringer("service", p.Service), zap.String("route", route.Name),
			zap.String("pool", pool), zap.Int("priority", route.Priority), zap.Int("in_progress", d.InProgress), zap.Float64("limit", d.Limit),
			zap.Float64("occupancy", d.Occupancy), zap.Float64("asked", d.Asked), zap.Float64("delay", d.Delay), zap.Float64("share", d.Share))
	}
	return !d.Refused
}

// addFlow adds a record for a flow. It returns nil if the flow table is full.
func (e *Engine) addFlow(key flowKey, now time.Time) *flow {
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
		zap.Uint64("era", d.Position.Era), zap.Uint64("revision", d.Position.Revision), zap.Duration("age", e.directories.Age(now)))
}

// continueFlow returns the server for a packet that does not open a flow, and the
// corrections for servers that may have accepted the flow too.
func (e *Engine) continueFlow(d *directory.Directory, p Packet, now time.Time) (*directory.Server, []Datagram, *refusal) {
	key := flowKey{p.Caller, p.Service}
	f := e.flows[key]
	if f != nil && f.progress.isOtherFlow(p) {
		e.forget(key, f, now)
		f = nil
	}
	if f == nil || f.adopted {
		server, refused := e.serverByCookie(d, p)
		if refused == nil && f == nil {
			refused = e.refuseGone(server, d.Route(p.Service), p, now)
		}
		if refused != nil {
			return nil, nil, refused
		}
		if f = e.adopt(d, key, f, server, p, now); f == nil {
			return server, nil, nil
		}
	}
	f.lastSeen = now
	if !f.established {
		e.establish(d, f, p, now)
	}
	f.refreshServer(d)
	if refused := e.refuseGone(f.server, f.route, p, now); refused != nil {
		e.forget(key, f, now)
		return nil, nil, refused
	}
	e.trackAnswer(f, p, e.trackRequest(f, p, now), now)
	return f.server, e.correctAlternates(d, f, p, now), nil
}

// adopt returns the record of a flow that was opened through another daemon. Without a
// record yet, it adds one with the first payload, so that the flow's requests count here
// as well. It returns nil if the flow needs no record or the table is full.
func (e *Engine) adopt(d *directory.Directory, key flowKey, f *flow, server *directory.Server, p Packet, now time.Time) *flow {
	if f == nil {
		route := d.Route(p.Service)
		if p.PayloadLen == 0 || p.Ends || p.Aborts || route == nil {
			return nil
		}
		if f = e.addFlow(key, now); f == nil {
			return nil
		}
		f.adopted, f.established, f.route, f.server = true, true, route, server
		e.metrics.Count(metrics.FlowsAdopted, 1)
	}
	if f.server.Cookie != server.Cookie {
		e.abandonRequest(f)
		e.dropAnswer(f, now)
		f.progress = progress{}
	}
	f.server = server
	return f
}

// correctAlternates returns copies of the opening packet with the cookie of the flow's
// server for the alternates. A server answers with the last cookie that it received on a
// flow, so the SYN+ACKs that an alternate repeats no longer change the caller's cookie, and
// daemons without a record of the flow find its server. The copies may get lost: another one
// follows when the caller echoes the cookie of an alternate again.
func (e *Engine) correctAlternates(d *directory.Directory, f *flow, p Packet, now time.Time) []Datagram {
	if f.ended || f.opening == nil {
		return nil
	}
	var out []Datagram
	for i := range f.alternates {
		a := &f.alternates[i]
		repeated := p.Cookie == a.server.Cookie && now.Sub(a.correctedAt) >= placement.AcceptTimeout
		if !a.correctedAt.IsZero() && !repeated || !acceptsFlows(d, a.server) {
			continue
		}
		a.correctedAt = now
		b := slices.Clone(f.opening)
		e.codec.Encapsulate(b, a.server.Number, f.server.Cookie)
		out = append(out, Datagram{a.server.Endpoint, b})
		e.metrics.Count(metrics.CookiesCorrected, 1)
		e.log.Log(events.CookieCorrected, zap.Stringer("caller", p.Caller), zap.Stringer("service", p.Service),
			zap.String("server", f.server.Name), zap.String("alternate", a.server.Name), zap.Bool("echoed", p.Cookie == a.server.Cookie))
	}
	return out
}

// acceptsFlows reports whether the process of a server from an earlier directory still
// takes new flows. Any other server would reset the flow or must not get an opening packet.
func acceptsFlows(d *directory.Directory, s *directory.Server) bool {
	current := d.ByCookie(s.Cookie)
	return current != nil && current.Name == s.Name && current.Started == s.Started && slices.Contains(d.Candidates(current.Pool), current)
}

// serverByCookie returns the server for a packet of a flow without a record here, which
// usually was opened through another daemon.
func (e *Engine) serverByCookie(d *directory.Directory, p Packet) (*directory.Server, *refusal) {
	if p.Cookie == 0 {
		return nil, &refusal{metrics.NoCookie, false}
	}
	server := d.ByCookie(p.Cookie)
	if server == nil {
		return nil, &refusal{metrics.UnknownCookie, false}
	}
	return server, nil
}

// establish sets the server of a flow from the cookie in the first packet after
// the opening one, since the caller has acknowledged the answer of that server.
// Later answers of other servers change the caller's cookie but must not move
// the flow.
func (e *Engine) establish(d *directory.Directory, f *flow, p Packet, now time.Time) {
	f.established = true
	if p.Cookie != 0 && p.Cookie != f.server.Cookie {
		if s := d.ByCookie(p.Cookie); s != nil {
			f.moveTo(s)
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
	if e.silences != nil {
		e.silences.Answered(f.server, f.placedAt, now)
	}
}

// trackRequest updates the progress of the flow's requests from a packet of the caller.
func (e *Engine) trackRequest(f *flow, p Packet, now time.Time) step {
	f.ended = f.ended || p.Ends || p.Aborts
	if p.Aborts {
		e.abandonRequest(f)
		return step{}
	}
	s := f.progress.observe(p, now)
	if s.answered {
		e.admission.End(&f.demand, now)
	}
	if s.answered && f.ticket != nil && !e.endFailed(f, p, now) {
		e.metrics.Observe(metrics.RequestAnswered, s.took)
		e.placer.Done(f.ticket, now)
		f.ticket = nil
	}
	if s.requested {
		e.admission.Begin(&f.demand, f.route, f.server.Pool, now)
		if f.ticket == nil {
			f.ticket = e.placer.Resume(f.server, f.route, now)
		}
		e.placer.MarkRequestSent(f.ticket, now)
	}
	if s.repeated {
		e.metrics.Count(metrics.RequestsRepeated, 1)
	}
	e.reportProgress(f, s, now)
	return s
}

// endFailed closes the ticket of a request whose answer is too short for its route so far. It
// reports false if the answer is none.
func (e *Engine) endFailed(f *flow, p Packet, now time.Time) bool {
	length := int(int32(p.Ack - f.answer.requestAck))
	switch {
	case !f.answer.awaited:
		return false
	case length <= closeLength:
		e.abandonRequest(f)
	case length < e.norms.ShortLength(f.route.Name):
		e.placer.Fail(f.ticket, now)
		f.ticket = nil
	default:
		return false
	}
	return true
}

// Expire deletes the records of flows that have ended or timed out. It returns the resets
// for flows whose servers are gone.
func (e *Engine) Expire(now time.Time) []Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	resets := e.resetGone(now)
	idleTimeout := e.idleTimeout()
	for key, f := range e.flows {
		e.checkAnswer(f, now)
		overdue := f.isAnswerOverdue(now)
		if overdue {
			e.placer.Fail(f.ticket, now)
			f.ticket = nil
			e.metrics.Count(metrics.FlowsUnanswered, 1)
			e.log.Log(events.FlowUnanswered, zap.Stringer("caller", key.caller), zap.Stringer("service", key.service),
				zap.String("server", f.server.Name), zap.Bool("accepted", f.established), zap.Bool("asked", f.progress.sent),
				zap.Duration("silent_for", now.Sub(f.lastSeen)))
		}
		if overdue && !f.contested || f.ticket == nil && f.expired(now, e.flowLifetime, idleTimeout) {
			e.forget(key, f, now)
		}
	}
	return resets
}

// idleTimeout returns how long the record of an idle flow is kept.
func (e *Engine) idleTimeout() time.Duration {
	timeout := defaultIdleTimeout
	if d := e.directories.Current(); d != nil && d.Config.IdleTimeout > 0 {
		timeout = d.Config.IdleTimeout
	}
	if len(e.flows) > crowdedFlows {
		return min(timeout, endedFlowTTL)
	}
	return timeout
}

// forget deletes the record of a flow.
func (e *Engine) forget(key flowKey, f *flow, now time.Time) {
	e.abandonRequest(f)
	e.dropAnswer(f, now)
	delete(e.flows, key)
}

// abandonRequest closes the ticket of a flow, if it has one.
func (e *Engine) abandonRequest(f *flow) {
	if f.ticket != nil {
		e.placer.Abandon(f.ticket)
		f.ticket = nil
	}
	e.admission.Abandon(&f.demand)
}

// FlowCount returns the number of flows in the flow table.
func (e *Engine) FlowCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}
