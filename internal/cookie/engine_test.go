package cookie

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// jsonCodec encodes packets as JSON after an envelope of 4 bytes.
type jsonCodec struct{}

func (jsonCodec) MaxPacketSize() int { return 1000 }
func (jsonCodec) Headroom() int      { return 4 }

func (jsonCodec) Parse(b []byte) (Packet, error) {
	var p Packet
	err := json.Unmarshal(b, &p)
	return p, err
}

func (jsonCodec) Encapsulate(b []byte, number uint64, c directory.Cookie) {
	b[0], b[1] = byte(number), byte(c)
}

func (jsonCodec) AppendReset(dst []byte, _ Packet) []byte { return append(dst, "reset"...) }

// staticDirectory is a DirectorySource with a fixed directory and age.
type staticDirectory struct {
	current *directory.Directory
	age     time.Duration
}

func (s *staticDirectory) Current() *directory.Directory   { return s.current }
func (s *staticDirectory) Age(time.Time) time.Duration     { return s.age }
func (s *staticDirectory) rebuild(b *directory.Builder)    { s.current = b.Build() }
func (s *staticDirectory) endpoint(c directory.Cookie) any { return s.current.ByCookie(c).Endpoint }

var (
	epoch   = time.Unix(0, 0)
	caller  = netip.MustParseAddrPort("100.64.0.1:1025")
	service = netip.MustParseAddrPort("198.18.0.1:443")
)

// harness runs an engine with two servers behind one route.
type harness struct {
	is          *is.I
	builder     *directory.Builder
	directories *staticDirectory
	engine      *Engine
	metrics     *metrics.Registry
	now         time.Time
}

func server(number uint64, endpoint string) *directory.Server {
	return &directory.Server{
		Name: endpoint, Number: number, Cookie: directory.CookieOf(number), Pool: "p", Zone: "a", Slots: 2,
		Endpoint: netip.MustParseAddrPort(endpoint), CreateRevision: number,
	}
}

func newHarness(t *testing.T) *harness {
	h := &harness{is: is.New(t), builder: directory.NewBuilder(), directories: &staticDirectory{}, metrics: metrics.NewRegistry(), now: epoch}
	h.engine = NewEngine(Options{
		Codec: jsonCodec{}, Directories: h.directories, Placer: placement.New("a", 1), FlowLifetime: time.Minute,
		Metrics: h.metrics, Log: events.Discard(),
	})
	h.apply(
		directory.Change{Config: &directory.Config{Version: 1, Routes: []directory.Route{{
			Name: "r", Address: service, Shares: []directory.Share{{Pool: "p", Weight: 1}}, Timeout: 2 * time.Second,
		}}}},
		directory.Change{Server: server(1, "10.0.0.1:80")},
		directory.Change{Server: server(2, "10.0.0.2:80")},
	)
	return h
}

func (h *harness) apply(changes ...directory.Change) {
	h.builder.Apply(changes, directory.Position{}, h.now)
	h.directories.rebuild(h.builder)
}

func (h *harness) send(p Packet) Verdict {
	if !p.Service.IsValid() {
		p.Service = service
	}
	p.Caller = caller
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: a Packet has only plain fields
	}
	return h.engine.Handle(append(make([]byte, 4), raw...), h.now)
}

// open sends an opening packet, retransmitted the given number of times before,
// and returns the cookie of the server that it is forwarded to.
func (h *harness) open(retransmits int) directory.Cookie {
	v := h.send(Packet{Opens: true, Retransmits: retransmits})
	h.is.True(v.To.IsValid() && !v.Reset)
	return directory.Cookie(v.Bytes[1])
}

// Guards against an open flow that moves to another server when its server
// drains or is deleted.
func TestFlowStaysOnItsServer(t *testing.T) {
	h := newHarness(t)
	c := h.open(0)
	draining := server(uint64(c), h.directories.current.ByCookie(c).Endpoint.String())
	draining.Draining = true
	h.apply(directory.Change{Server: draining})
	for range 5 {
		h.now = h.now.Add(time.Second)
		v := h.send(Packet{Cookie: c, PayloadLen: 10})
		h.is.Equal(v.To, h.directories.endpoint(c))
	}
	h.apply(directory.Change{Deleted: draining.Name})
	v := h.send(Packet{Cookie: c, PayloadLen: 10})
	h.is.Equal(v.To, draining.Endpoint)
}

// Guards against a flow that depends on the daemon that opened it: a daemon
// without a record of the flow must forward its packets by their cookies.
func TestAnyDaemonKnowsTheServer(t *testing.T) {
	h := newHarness(t)
	for _, c := range []directory.Cookie{1, 2} {
		v := h.send(Packet{Cookie: c, PayloadLen: 10, Service: netip.AddrPortFrom(service.Addr(), uint16(c))})
		h.is.Equal(v.To, h.directories.endpoint(c))
		h.is.Equal(v.Bytes[0], byte(c)) // the server's number
	}
}

// Guards against a flow that moves when a second server's answer arrives late.
// The caller echoes the cookie of the last packet that it received, but the flow
// is open on the server whose answer it acknowledged first.
func TestSecondAnswerDoesNotMoveTheFlow(t *testing.T) {
	h := newHarness(t)
	first := h.open(0)
	h.now = h.now.Add(200 * time.Millisecond)
	second := h.open(1)
	h.is.True(first != second) // the first server has not answered within 200 ms
	v := h.send(Packet{Cookie: first})
	h.is.Equal(v.To, h.directories.endpoint(first))
	v = h.send(Packet{Cookie: second, PayloadLen: 10})
	h.is.Equal(v.To, h.directories.endpoint(first))
	h.is.Equal(v.Bytes[1], byte(first)) // the server's cookie replaces the caller's
	v = h.send(Packet{Opens: true, Retransmits: 2})
	h.is.Equal(v.To, h.directories.endpoint(first))
}

// Guards against an idle flow that moves to a server which has accepted a copy of its
// opening packet and repeats its SYN+ACK: the caller echoes that server's cookie (review
// case 1).
func TestSecondAnswerDoesNotMoveAnIdleFlow(t *testing.T) {
	h := newHarness(t)
	first := h.open(0)
	h.now = h.now.Add(200 * time.Millisecond)
	second := h.open(1)
	h.send(Packet{Cookie: first})
	h.send(Packet{Cookie: first, PayloadLen: 10})
	for range 3 {
		h.now = h.now.Add(15 * time.Second)
		h.engine.Expire(h.now)
		v := h.send(Packet{Cookie: second, PayloadLen: 10})
		h.is.Equal(v.To, h.directories.endpoint(first))
	}
	h.now = h.now.Add(15*time.Second + time.Millisecond)
	h.engine.Expire(h.now)
	h.is.Equal(h.engine.FlowCount(), 0) // the flow has reached its maximum lifetime
}

// Guards against the same move where the record begins with a copy of the opening packet,
// because another daemon forwarded the original.
func TestCopyOfAnUnknownFlowMayHaveBeenAccepted(t *testing.T) {
	h := newHarness(t)
	opened := h.open(1)
	h.send(Packet{Cookie: opened, PayloadLen: 10})
	h.now = h.now.Add(15 * time.Second)
	h.engine.Expire(h.now)
	other := 3 - opened // the cookies are 1 and 2
	v := h.send(Packet{Cookie: other, PayloadLen: 10})
	h.is.Equal(v.To, h.directories.endpoint(opened))
}

// acceptedByTwo opens a flow that two servers have accepted: the answer of the first one was
// lost and the caller has acknowledged the second one. It returns both and the verdict on
// the caller's first packet after the opening ones.
func (h *harness) acceptedByTwo() (alternate, server directory.Cookie, v Verdict) {
	alternate = h.open(0)
	h.now = h.now.Add(200 * time.Millisecond)
	server = h.open(1)
	h.is.True(alternate != server)
	return alternate, server, h.send(Packet{Cookie: server})
}

// Guards against a flow that two servers have accepted and that moves to a daemon without a
// record of it: the SYN+ACKs that the second server repeats must carry the cookie of the
// flow's server (review case 3).
func TestAlternateIsToldTheCookieOfTheFlowsServer(t *testing.T) {
	h := newHarness(t)
	alternate, server, v := h.acceptedByTwo()
	h.is.Equal(v.To, h.directories.endpoint(server))
	h.is.Equal(len(v.Corrections), 1)
	correction := v.Corrections[0]
	h.is.Equal(correction.To, h.directories.endpoint(alternate))
	h.is.Equal(correction.Bytes[0], byte(alternate))
	h.is.Equal(correction.Bytes[1], byte(server)) // the alternate's next SYN+ACK has this cookie
	packet, err := jsonCodec{}.Parse(correction.Bytes[4:])
	h.is.NoErr(err)
	h.is.Equal(packet, Packet{Caller: caller, Service: service, Opens: true, Retransmits: 1}) // as the caller sent it
	h.is.Equal(len(h.send(Packet{Cookie: server, PayloadLen: 10}).Corrections), 0)
	h.is.Equal(h.metrics.Totals().Value(metrics.CookiesCorrected), int64(1))
}

// Guards against an alternate that keeps its own cookie because the correction was lost.
func TestLostCorrectionIsRepeated(t *testing.T) {
	h := newHarness(t)
	alternate, server, _ := h.acceptedByTwo()
	h.is.Equal(len(h.send(Packet{Cookie: alternate}).Corrections), 0) // the first one is on its way
	h.now = h.now.Add(placement.AcceptTimeout)
	h.is.Equal(len(h.send(Packet{Cookie: server}).Corrections), 0)
	h.is.Equal(len(h.send(Packet{Cookie: alternate}).Corrections), 1)
	h.is.Equal(len(h.send(Packet{Cookie: alternate}).Corrections), 0)
}

// Guards against opening packets for servers that must not get any, or that would reset the
// flow because they do not know it any more.
func TestOnlyServersThatTakeFlowsAreCorrected(t *testing.T) {
	for name, change := range map[string]func(s *directory.Server) directory.Change{
		"draining": func(s *directory.Server) directory.Change { s.Draining = true; return directory.Change{Server: s} },
		"restarted": func(s *directory.Server) directory.Change {
			s.Started++
			return directory.Change{Server: s}
		},
		"vanished":  func(s *directory.Server) directory.Change { return directory.Change{Deleted: s.Name} },
		"evacuated": func(s *directory.Server) directory.Change { return directory.Change{Evacuated: s.Zone} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			alternate := h.open(0)
			h.now = h.now.Add(200 * time.Millisecond)
			opened := h.open(1)
			h.apply(change(server(uint64(alternate), h.directories.current.ByCookie(alternate).Endpoint.String())))
			h.is.Equal(len(h.send(Packet{Cookie: opened}).Corrections), 0)
		})
	}
}

// Guards against opening packets for a flow that has ended.
func TestEndedFlowIsNotCorrected(t *testing.T) {
	h := newHarness(t)
	alternate, server, _ := h.acceptedByTwo()
	h.send(Packet{Cookie: server, Ends: true})
	h.now = h.now.Add(placement.AcceptTimeout)
	h.is.Equal(len(h.send(Packet{Cookie: alternate}).Corrections), 0)
}

// Guards against a new flow that goes to the server of an earlier one from the same port,
// which ended without a packet from the caller, or whose first opening packet was lost.
func TestReusedCallerPortOfASilentFlow(t *testing.T) {
	h := newHarness(t)
	first := h.open(0)
	h.now = h.now.Add(200 * time.Millisecond)
	h.open(1)
	h.send(Packet{Cookie: first, PayloadLen: 10})
	draining := server(uint64(first), h.directories.current.ByCookie(first).Endpoint.String())
	draining.Draining = true
	h.apply(directory.Change{Server: draining})
	h.now = h.now.Add(openTimeout + time.Millisecond)
	h.is.True(h.open(1) != first)
}

// Guards against a new flow on a reused caller port that goes to the server of
// the previous flow although that server is draining.
func TestReusedCallerPort(t *testing.T) {
	h := newHarness(t)
	first := h.open(0)
	h.send(Packet{Cookie: first, PayloadLen: 10})
	h.send(Packet{Cookie: first, Ack: 1, Ends: true})
	draining := server(uint64(first), h.directories.current.ByCookie(first).Endpoint.String())
	draining.Draining = true
	h.apply(directory.Change{Server: draining})
	h.is.True(h.open(0) != first)
}

// Guards against confusing two servers that used one address in turn. The number
// in the envelope and the cookie identify a server, its address does not.
func TestReusedServerAddress(t *testing.T) {
	h := newHarness(t)
	h.apply(directory.Change{Deleted: "10.0.0.1:80"}, directory.Change{Server: &directory.Server{
		Name: "new", Number: 3, Cookie: 3, Pool: "other", Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, CreateRevision: 9,
	}})
	v := h.send(Packet{Cookie: 1, PayloadLen: 10})
	h.is.Equal(v.Bytes[0], byte(1)) // the new server ignores a packet for number 1
	for range 10 {
		h.is.Equal(h.open(0), directory.Cookie(2))
		h.now = h.now.Add(endedFlowTTL + openTimeout)
		h.engine.Expire(h.now)
	}
}

// Guards against forwarding a packet whose server is not known.
func TestUnknownCookiesAreDropped(t *testing.T) {
	h := newHarness(t)
	h.is.True(!h.send(Packet{PayloadLen: 10}).To.IsValid())
	h.is.Equal(h.metrics.Refusals().Value(metrics.NoCookie), int64(1))
	h.is.True(!h.send(Packet{Cookie: 99, PayloadLen: 10}).To.IsValid())
	h.is.Equal(h.metrics.Refusals().Value(metrics.UnknownCookie), int64(1))
}

// Guards against a caller that times out on an address without a route, and
// against a reset by a daemon whose directory may be too old to have the route.
func TestAddressWithoutRoute(t *testing.T) {
	h := newHarness(t)
	elsewhere := netip.MustParseAddrPort("198.18.0.9:1")
	v := h.send(Packet{Opens: true, Service: elsewhere})
	h.is.True(v.Reset)
	h.is.Equal(v.To, caller)
	h.is.Equal(string(v.Bytes), "reset")

	h.directories.age = maxAgeForReset + time.Millisecond
	h.is.True(!h.send(Packet{Opens: true, Service: elsewhere}).To.IsValid())
}

// Guards against open flows that break when the latest configuration removes
// their route while their server is alive.
func TestDroppedRoute(t *testing.T) {
	h := newHarness(t)
	c := h.open(0)
	h.send(Packet{Cookie: c, PayloadLen: 10})
	h.apply(directory.Change{Config: &directory.Config{Version: 2}})
	h.is.True(h.send(Packet{Opens: true, Service: service}).To == h.directories.endpoint(c)) // a retransmission
	v := h.send(Packet{Cookie: c, PayloadLen: 10})
	h.is.Equal(v.To, h.directories.endpoint(c))
}

// Guards against callers that time out although the pool has no server, and
// against answering a reset with a reset.
func TestNoServerLeft(t *testing.T) {
	h := newHarness(t)
	h.apply(directory.Change{Deleted: "10.0.0.1:80"}, directory.Change{Deleted: "10.0.0.2:80"})
	h.now = h.now.Add(directory.DefaultRetention.Missing)
	h.builder.Expire(h.now, h.now)
	h.directories.rebuild(h.builder)
	h.is.True(h.send(Packet{Opens: true}).Reset)
	h.is.True(!h.send(Packet{Opens: true, Aborts: true}).Reset)
}

// Guards against handling packets before there is a directory.
func TestWithoutDirectoryPacketsAreDropped(t *testing.T) {
	h := newHarness(t)
	h.directories.current = nil
	h.is.True(!h.send(Packet{Opens: true}).To.IsValid())
	h.is.Equal(h.metrics.Refusals().Value(metrics.NoTables), int64(1))
}

// Guards against requests that count as in progress forever, which would keep
// new flows away from an idle server.
func TestRequestsInProgressEndWithTheirFlows(t *testing.T) {
	inProgress := func(h *harness) int {
		n := 0
		for _, k := range h.engine.placer.Load(h.now).InProgress {
			n += k
		}
		return n
	}
	for name, end := range map[string]func(h *harness, c directory.Cookie){
		"response":       func(h *harness, c directory.Cookie) { h.send(Packet{Cookie: c, Ack: 50}) },
		"caller's end":   func(h *harness, c directory.Cookie) { h.send(Packet{Cookie: c, Ends: true}) },
		"caller's reset": func(h *harness, c directory.Cookie) { h.send(Packet{Cookie: c, Aborts: true}) },
		"time":           func(h *harness, _ directory.Cookie) { h.now = h.now.Add(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			c := h.open(0)
			h.send(Packet{Cookie: c})
			h.send(Packet{Cookie: c, PayloadLen: 10})
			h.is.Equal(inProgress(h), 1)
			end(h, c)
			h.engine.Expire(h.now)
			h.is.Equal(inProgress(h), 0)
		})
	}
	t.Run("opening packet that nobody answers", func(t *testing.T) {
		h := newHarness(t)
		for i := range 3 {
			h.open(i)
		}
		h.is.Equal(inProgress(h), 1)
		h.now = h.now.Add(openTimeout + time.Millisecond)
		h.engine.Expire(h.now)
		h.is.Equal(inProgress(h), 0)
		h.is.Equal(h.engine.FlowCount(), 0)
	})
}

// Guards against forwarding bytes that are not a packet.
func TestMalformedPacketsAreCounted(t *testing.T) {
	h := newHarness(t)
	h.is.True(!h.engine.Handle([]byte("envlnot JSON"), h.now).To.IsValid())
	h.is.Equal(h.metrics.Refusals().Value(metrics.Malformed), int64(1))
}

// Guards against a reset from a daemon that starts while registrations have
// expired because the store was down. Servers register again within about 2 s,
// in time for a retransmission of the opening packet (soak seed 104).
func TestStartingDaemonDoesNotRefuseForLackOfServers(t *testing.T) {
	h := newHarness(t)
	h.builder = directory.NewBuilder()
	h.now = epoch.Add(time.Hour)
	h.apply(directory.Change{Config: &directory.Config{Version: 1, Routes: []directory.Route{{
		Name: "r", Address: service, Shares: []directory.Share{{Pool: "p", Weight: 1}}, Timeout: 2 * time.Second,
	}}}})
	h.is.True(!h.send(Packet{Opens: true}).To.IsValid())
	h.now = h.now.Add(200 * time.Millisecond)
	h.apply(directory.Change{Server: server(1, "10.0.0.1:80")})
	h.is.Equal(h.open(1), directory.Cookie(1))

	h.apply(directory.Change{Deleted: "10.0.0.1:80"})
	h.now = h.now.Add(directory.DefaultRetention.Missing)
	h.builder.Expire(h.now, h.now)
	h.directories.rebuild(h.builder)
	h.is.True(h.send(Packet{Opens: true, Service: service, Ack: 1}).Reset)
}

// Guards against forwarding opening packets that were queued while the daemon was
// paused, since a second server would get the flow, and against dropping packets
// of open flows together with them.
func TestLateOpeningPacketsAreDropped(t *testing.T) {
	h := newHarness(t)
	handleLate := func(p Packet) Verdict {
		p.Caller, p.Service = caller, service
		raw, err := json.Marshal(p)
		h.is.NoErr(err)
		return h.engine.HandleLate(append(make([]byte, 4), raw...), h.now)
	}
	h.is.True(!handleLate(Packet{Opens: true}).To.IsValid())
	h.is.Equal(h.metrics.Refusals().Value(metrics.StalePacket), int64(1))
	c := h.open(0)
	h.is.Equal(handleLate(Packet{Cookie: c, PayloadLen: 10}).To, h.directories.endpoint(c))
}

// Guards against a flow that several servers accept because its opening packet and
// the retransmissions were read in one batch after a start: the first server had
// no time to answer.
func TestRetransmissionsInABurstGoToOneServer(t *testing.T) {
	h := newHarness(t)
	first := h.open(0)
	h.now = h.now.Add(time.Millisecond)
	h.is.Equal(h.open(1), first)
	h.is.Equal(h.open(2), first)
	h.now = h.now.Add(placement.AcceptTimeout)
	h.is.True(h.open(2) != first)
}

// placeInEvacuatedZone opens a flow, then evacuates the zone of its server. The other server is
// in another zone.
func placeInEvacuatedZone(t *testing.T) (h *harness, c directory.Cookie) {
	h = newHarness(t)
	elsewhere := server(2, "10.0.0.2:80")
	elsewhere.Zone = "b"
	h.apply(directory.Change{Server: elsewhere})
	c = h.open(0)
	h.apply(directory.Change{Evacuated: h.directories.current.ByCookie(c).Zone})
	return h, c
}

// Guards against copies of an opening packet that reach a server after the evacuation of its
// zone because the daemon placed the flow before.
func TestCopiesDoNotReachAnEvacuatedZone(t *testing.T) {
	h, c := placeInEvacuatedZone(t)
	h.now = h.now.Add(placement.AcceptTimeout - 1)
	h.is.True(!h.send(Packet{Opens: true, Retransmits: 1}).To.IsValid()) // the server may be about to answer
	h.now = h.now.Add(1)
	moved := h.open(2)
	h.is.True(moved != c)
	v := h.send(Packet{Cookie: moved})
	h.is.Equal(v.To, h.directories.endpoint(moved))
	h.is.Equal(len(v.Corrections), 0) // they would be opening packets as well
}

// Guards against an open flow that the evacuation of its server's zone breaks: its packets still
// reach the server, and a late copy of its opening packet is neither forwarded nor answered.
func TestOpenFlowsInAnEvacuatedZoneGoOn(t *testing.T) {
	h, c := placeInEvacuatedZone(t)
	h.is.Equal(h.send(Packet{Cookie: c, PayloadLen: 10}).To, h.directories.endpoint(c))
	for range 2 {
		h.is.True(!h.send(Packet{Opens: true, Retransmits: 1}).To.IsValid())
		h.now = h.now.Add(placement.AcceptTimeout)
	}
	h.is.Equal(h.metrics.Refusals().Value(metrics.EvacuatedCopy), int64(2))
	h.is.Equal(h.send(Packet{Cookie: c, PayloadLen: 10}).To, h.directories.endpoint(c))
	h.apply(directory.Change{Returned: h.directories.current.ByCookie(c).Zone})
	h.is.Equal(h.open(2), c)
}

// Guards against callers that time out because all zones of a pool are evacuated, and against
// an operator who cannot tell this from a pool without servers.
func TestEvacuatedPoolIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.apply(directory.Change{Evacuated: "a"})
	h.now = h.now.Add(directory.DefaultRetention.Missing)
	h.is.True(h.send(Packet{Opens: true}).Reset)
	h.is.Equal(h.metrics.Refusals().Value(metrics.PoolEvacuated), int64(1))
	h.apply(directory.Change{Returned: "a"})
	h.open(0)
}

// Guards against flows beyond the configured limit of cold servers, and against callers that
// wait for such a flow in vain.
func TestColdServersAtTheirLimitRefuseFlowsAtOnce(t *testing.T) {
	h := newHarness(t)
	config := *h.directories.current.Config
	config.Pools = map[string]directory.PoolSettings{"p": {ColdPerSecond: 10}}
	changes := []directory.Change{{Config: &config}}
	for _, s := range []*directory.Server{server(1, "10.0.0.1:80"), server(2, "10.0.0.2:80")} {
		s.ColdFor, s.ReadAt = time.Second, h.now
		changes = append(changes, directory.Change{Server: s})
	}
	h.apply(changes...)
	h.is.True(h.send(Packet{Opens: true}).Reset) // no daemon is registered that may place flows
	h.is.Equal(h.metrics.Refusals().Value(metrics.ColdLimit), int64(1))
	h.apply(directory.Change{Server: server(2, "10.0.0.2:80")})
	h.is.Equal(h.open(0), directory.Cookie(2)) // a warm one
}
