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

// jsonCodec carries packets as JSON, with room for an envelope of 4 bytes.
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

type fixedTables struct {
	directory *directory.Directory
	age       time.Duration
}

func (f *fixedTables) Current() *directory.Directory   { return f.directory }
func (f *fixedTables) Age(time.Time) time.Duration     { return f.age }
func (f *fixedTables) use(d *directory.Builder)        { f.directory = d.Build() }
func (f *fixedTables) endpoint(c directory.Cookie) any { return f.directory.ByCookie(c).Endpoint }

var (
	epoch   = time.Unix(0, 0)
	caller  = netip.MustParseAddrPort("100.64.0.1:1025")
	service = netip.MustParseAddrPort("198.18.0.1:443")
)

// world is an engine with two servers behind one route.
type world struct {
	is      *is.I
	builder *directory.Builder
	tables  *fixedTables
	engine  *Engine
	metrics *metrics.Registry
	now     time.Time
}

func server(number uint64, endpoint string) *directory.Server {
	return &directory.Server{
		Name: endpoint, Number: number, Cookie: directory.CookieOf(number), Pool: "p", Zone: "a", Slots: 2,
		Endpoint: netip.MustParseAddrPort(endpoint), CreateRevision: number,
	}
}

func newWorld(t *testing.T) *world {
	w := &world{is: is.New(t), builder: directory.NewBuilder(), tables: &fixedTables{}, metrics: metrics.NewRegistry(), now: epoch}
	w.engine = NewEngine(jsonCodec{}, w.tables, placement.New("a", 1), w.metrics, events.Discard())
	w.apply(
		directory.Change{Config: &directory.Config{Version: 1, Routes: []directory.Route{{
			Name: "r", Address: service, Shares: []directory.Share{{Pool: "p", Weight: 1}}, Timeout: 2 * time.Second,
		}}}},
		directory.Change{Server: server(1, "10.0.0.1:80")},
		directory.Change{Server: server(2, "10.0.0.2:80")},
	)
	return w
}

func (w *world) apply(changes ...directory.Change) {
	w.builder.Apply(changes, 0, w.now)
	w.tables.use(w.builder)
}

func (w *world) send(p Packet) Verdict {
	if !p.Service.IsValid() {
		p.Service = service
	}
	p.Caller = caller
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // a packet is plain data
	}
	return w.engine.Handle(append(make([]byte, 4), raw...), w.now)
}

// open sends an opening packet and returns the cookie that the server gets.
func (w *world) open(copies int) directory.Cookie {
	v := w.send(Packet{Opens: true, Retransmits: copies})
	w.is.True(v.To.IsValid() && !v.Reset)
	return directory.Cookie(v.Bytes[1])
}

// Guards against packets of one flow at two servers, while the load, the
// tables and the server's state change.
func TestFlowStaysOnItsServer(t *testing.T) {
	w := newWorld(t)
	c := w.open(0)
	draining := server(uint64(c), w.tables.directory.ByCookie(c).Endpoint.String())
	draining.Draining = true
	w.apply(directory.Change{Server: draining})
	for range 5 {
		w.now = w.now.Add(time.Second)
		v := w.send(Packet{Cookie: c, PayloadLen: 10})
		w.is.Equal(v.To, w.tables.endpoint(c))
	}
	w.apply(directory.Change{Deleted: draining.Name})
	v := w.send(Packet{Cookie: c, PayloadLen: 10})
	w.is.Equal(v.To, draining.Endpoint)
}

// Guards against a flow that needs the daemon that placed it: any daemon sends
// a packet where its cookie says, also without a record.
func TestAnyDaemonKnowsTheServer(t *testing.T) {
	w := newWorld(t)
	for _, c := range []directory.Cookie{1, 2} {
		v := w.send(Packet{Cookie: c, PayloadLen: 10, Service: netip.AddrPortFrom(service.Addr(), uint16(c))})
		w.is.Equal(v.To, w.tables.endpoint(c))
		w.is.Equal(v.Bytes[0], byte(c)) // the server's number
	}
}

// Guards against a flow that moves when a second server's answer arrives late.
// The caller echoes the cookie of the last packet it got; the flow is open at
// the server that it acknowledged first.
func TestSecondAnswerDoesNotMoveTheFlow(t *testing.T) {
	w := newWorld(t)
	first := w.open(0)
	w.now = w.now.Add(200 * time.Millisecond)
	second := w.open(1)
	w.is.True(first != second) // the first one has not answered in 200 ms
	v := w.send(Packet{Cookie: first})
	w.is.Equal(v.To, w.tables.endpoint(first))
	v = w.send(Packet{Cookie: second, PayloadLen: 10})
	w.is.Equal(v.To, w.tables.endpoint(first))
	w.is.Equal(v.Bytes[1], byte(first)) // which mends the caller's cookie
	v = w.send(Packet{Opens: true, Retransmits: 2})
	w.is.Equal(v.To, w.tables.endpoint(first))
}

// Guards against a new flow on a port that was used before, sent to the former
// flow's server although that one drains.
func TestPortIsUsedAgain(t *testing.T) {
	w := newWorld(t)
	first := w.open(0)
	w.send(Packet{Cookie: first, PayloadLen: 10})
	w.send(Packet{Cookie: first, Ack: 1, Ends: true})
	draining := server(uint64(first), w.tables.directory.ByCookie(first).Endpoint.String())
	draining.Draining = true
	w.apply(directory.Change{Server: draining})
	w.is.True(w.open(0) != first)
}

// Guards against packets to an address that another server has got since: the
// id in the envelope and the cookie name the server, not the address.
func TestAddressOfAGoneServerIsUsedAgain(t *testing.T) {
	w := newWorld(t)
	w.apply(directory.Change{Deleted: "10.0.0.1:80"}, directory.Change{Server: &directory.Server{
		Name: "new", Number: 3, Cookie: 3, Pool: "other", Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, CreateRevision: 9,
	}})
	v := w.send(Packet{Cookie: 1, PayloadLen: 10})
	w.is.Equal(v.Bytes[0], byte(1)) // the new server ignores a packet for number 1
	for range 10 {
		w.is.Equal(w.open(0), directory.Cookie(2))
		w.now = w.now.Add(closedLinger + openTimeout)
		w.engine.Expire(w.now)
	}
}

// Guards against guesses about packets whose server is not known.
func TestUnknownCookiesAreDropped(t *testing.T) {
	w := newWorld(t)
	w.is.True(!w.send(Packet{PayloadLen: 10}).To.IsValid())
	w.is.Equal(w.metrics.Refusals().Value(metrics.NoCookie), int64(1))
	w.is.True(!w.send(Packet{Cookie: 99, PayloadLen: 10}).To.IsValid())
	w.is.Equal(w.metrics.Refusals().Value(metrics.UnknownCookie), int64(1))
}

// Guards against a caller that waits for an address without a route, and
// against a reset by a daemon whose tables may be too old to know the route.
func TestAddressWithoutRoute(t *testing.T) {
	w := newWorld(t)
	elsewhere := netip.MustParseAddrPort("198.18.0.9:1")
	v := w.send(Packet{Opens: true, Service: elsewhere})
	w.is.True(v.Reset)
	w.is.Equal(v.To, caller)
	w.is.Equal(string(v.Bytes), "reset")

	w.tables.age = freshEnough + time.Millisecond
	w.is.True(!w.send(Packet{Opens: true, Service: elsewhere}).To.IsValid())
}

// Guards against new flows on a route that the newest configuration has
// dropped, and against open flows that are cut by it while their server lives.
func TestDroppedRoute(t *testing.T) {
	w := newWorld(t)
	c := w.open(0)
	w.send(Packet{Cookie: c, PayloadLen: 10})
	w.apply(directory.Change{Config: &directory.Config{Version: 2}})
	w.is.True(w.send(Packet{Opens: true, Service: service}).To == w.tables.endpoint(c)) // a copy of the open flow
	v := w.send(Packet{Cookie: c, PayloadLen: 10})
	w.is.Equal(v.To, w.tables.endpoint(c))
}

// Guards against callers that wait although no server is left, and against a
// reset that answers a reset.
func TestNoServerLeft(t *testing.T) {
	w := newWorld(t)
	w.apply(directory.Change{Deleted: "10.0.0.1:80"}, directory.Change{Deleted: "10.0.0.2:80"})
	w.now = w.now.Add(directory.DefaultRetention.Missing)
	w.builder.Expire(w.now, w.now)
	w.tables.use(w.builder)
	w.is.True(w.send(Packet{Opens: true}).Reset)
	w.is.True(!w.send(Packet{Opens: true, Aborts: true}).Reset)
}

// Guards against packets that are handled without tables.
func TestWithoutDirectoryPacketsAreDropped(t *testing.T) {
	w := newWorld(t)
	w.tables.directory = nil
	w.is.True(!w.send(Packet{Opens: true}).To.IsValid())
	w.is.Equal(w.metrics.Refusals().Value(metrics.NoTables), int64(1))
}

// Guards against requests in progress that are counted for ever, which would
// keep flows off an idle server.
func TestAccountsEndWithTheirFlows(t *testing.T) {
	working := func(w *world) int {
		n := 0
		for _, k := range w.engine.placer.Load(w.now).InProgress {
			n += k
		}
		return n
	}
	for name, end := range map[string]func(w *world, c directory.Cookie){
		"response":       func(w *world, c directory.Cookie) { w.send(Packet{Cookie: c, Ack: 50}) },
		"caller's end":   func(w *world, c directory.Cookie) { w.send(Packet{Cookie: c, Ends: true}) },
		"caller's reset": func(w *world, c directory.Cookie) { w.send(Packet{Cookie: c, Aborts: true}) },
		"time":           func(w *world, _ directory.Cookie) { w.now = w.now.Add(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			c := w.open(0)
			w.send(Packet{Cookie: c})
			w.send(Packet{Cookie: c, PayloadLen: 10})
			w.is.Equal(working(w), 1)
			end(w, c)
			w.engine.Expire(w.now)
			w.is.Equal(working(w), 0)
		})
	}
	t.Run("opening packet that nobody answers", func(t *testing.T) {
		w := newWorld(t)
		for i := range 3 {
			w.open(i)
		}
		w.is.Equal(working(w), 1)
		w.now = w.now.Add(openTimeout + time.Millisecond)
		w.engine.Expire(w.now)
		w.is.Equal(working(w), 0)
		w.is.Equal(w.engine.FlowCount(), 0)
	})
}

// Guards against bytes that are no packet.
func TestMalformedPacketsAreCounted(t *testing.T) {
	w := newWorld(t)
	w.is.True(!w.engine.Handle([]byte("envlnot JSON"), w.now).To.IsValid())
	w.is.Equal(w.metrics.Refusals().Value(metrics.Malformed), int64(1))
}

// Guards against callers that are refused by a daemon that has just started while
// registrations have lapsed with the store: they are back within about 2 s, and a
// copy of the opening packet finds them (soak seed 104).
func TestStartingDaemonDoesNotRefuseForLackOfServers(t *testing.T) {
	w := newWorld(t)
	w.builder = directory.NewBuilder()
	w.now = epoch.Add(time.Hour)
	w.apply(directory.Change{Config: &directory.Config{Version: 1, Routes: []directory.Route{{
		Name: "r", Address: service, Shares: []directory.Share{{Pool: "p", Weight: 1}}, Timeout: 2 * time.Second,
	}}}})
	w.is.True(!w.send(Packet{Opens: true}).To.IsValid())
	w.now = w.now.Add(200 * time.Millisecond)
	w.apply(directory.Change{Server: server(1, "10.0.0.1:80")})
	w.is.Equal(w.open(1), directory.Cookie(1))

	w.apply(directory.Change{Deleted: "10.0.0.1:80"})
	w.now = w.now.Add(directory.DefaultRetention.Missing)
	w.builder.Expire(w.now, w.now)
	w.tables.use(w.builder)
	w.is.True(w.send(Packet{Opens: true, Service: service, Ack: 1}).Reset)
}

// Guards against opening packets that have waited while the daemon stood still and
// are forwarded to a second server, and against packets of open flows that are lost
// with them.
func TestLateOpeningPacketsAreDropped(t *testing.T) {
	w := newWorld(t)
	late := func(p Packet) Verdict {
		p.Caller, p.Service = caller, service
		raw, err := json.Marshal(p)
		w.is.NoErr(err)
		return w.engine.HandleLate(append(make([]byte, 4), raw...), w.now)
	}
	w.is.True(!late(Packet{Opens: true}).To.IsValid())
	w.is.Equal(w.metrics.Refusals().Value(metrics.StalePacket), int64(1))
	c := w.open(0)
	w.is.Equal(late(Packet{Cookie: c, PayloadLen: 10}).To, w.tables.endpoint(c))
}

// Guards against a flow that several servers accept because its opening packet and
// the copies were read together after a start: the first server had no time to
// answer.
func TestCopiesInABurstGoToOneServer(t *testing.T) {
	w := newWorld(t)
	first := w.open(0)
	w.now = w.now.Add(time.Millisecond)
	w.is.Equal(w.open(1), first)
	w.is.Equal(w.open(2), first)
	w.now = w.now.Add(placement.AcceptTimeout)
	w.is.True(w.open(2) != first)
}
