package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"knapweedshore.example/internal/entry"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/settings"
	adapter "knapweedshore.example/platform"
	"knapweedshore.example/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Ports of the daemons, which have one IP address each.
const (
	dataPort  = 8172
	readyPort = 8167
	peerPort  = 7720
)

var serviceAddr = netip.MustParseAddrPort("198.18.0.1:443")

// site runs daemons, backend servers, a caller and a store on loopback addresses
// that it claims for itself.
type site struct {
	t       *testing.T
	store   *platform.Store
	network *platform.Network
	daemons []*daemon
	caller  *platform.Caller
}

type daemon struct {
	settings *settings.Entry
	endpoint *platform.Endpoint
	logs     *observer.ObservedLogs
	status   func() ([]byte, error)
	stop     context.CancelFunc
	done     chan struct{}
}

func newSite(t *testing.T) *site {
	t.Helper()
	network, err := platform.ClaimNetwork()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Release)
	s := &site{t: t, store: platform.NewStore(), network: network}
	caller, err := platform.NewCaller(s.addr(9, 1, dataPort), 5*time.Second)
	s.check(err)
	t.Cleanup(caller.Close)
	s.caller = caller
	s.configure(1, serviceAddr)
	return s
}

func (s *site) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) addr(group, n byte, port uint16) netip.AddrPort {
	return s.network.Addr(group, n, port)
}

// configure stores a configuration that routes the addresses to the service "s".
func (s *site) configure(version int, addresses ...netip.AddrPort) {
	var routes []map[string]any
	for i, a := range addresses {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r", i), "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()),
			"kind": "safe", "timeout_ms": 2000, "target_latency_ms": 150, "service": "s",
		})
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{}, "limits": map[string]any{}})
	s.check(err)
	s.store.Put("op/config", value)
}

// addBackend starts a backend server and registers it as ready.
func (s *site) addBackend(n byte, zone string) *platform.Backend {
	b, err := platform.NewBackend(s.addr(8, n, 8080), 0x7f000000+uint64(n), "s", zone, dataPort)
	s.check(err)
	s.t.Cleanup(b.Close)
	s.store.Put(b.Key(), b.Registration("ready"))
	return b
}

// start starts a daemon with its own endpoint of the store. Its seeds are the
// daemons that were started before.
func (s *site) start(zone string) *daemon {
	s.t.Helper()
	endpoint, err := s.store.Listen()
	s.check(err)
	s.t.Cleanup(endpoint.Close)
	return s.startAt(byte(len(s.daemons)+1), zone, endpoint)
}

// startAt starts the daemon with number n, which determines its name and address.
func (s *site) startAt(n byte, zone string, endpoint *platform.Endpoint) *daemon {
	s.t.Helper()
	d := &daemon{endpoint: endpoint, done: make(chan struct{}), settings: &settings.Entry{
		Name: fmt.Sprint("vm", n), Region: "r", Zone: zone, Data: s.addr(1, n, dataPort), Ready: s.addr(1, n, readyPort),
		Peer: s.addr(1, n, peerPort), PeerListen: s.addr(1, n, peerPort), Store: endpoint.Addr(), GracePeriod: 3 * time.Second, RecoveryTime: 4 * time.Second, DrainTime: 3 * time.Second, ConfigTime: 3 * time.Second, FlowLifetime: time.Minute,
		ResetGoneFlows: true, AvoidFailingServers: true, Admission: true,
	}}
	for _, other := range s.daemons {
		d.settings.Seeds = append(d.settings.Seeds, other.settings.Peer)
	}
	core, logs := observer.New(zapcore.DebugLevel)
	d.logs = logs
	client := adapter.NewStore(endpoint.Addr())
	running, err := entry.New(entry.Options{
		Settings: d.settings, Source: client, Decoder: adapter.Decoder{}, Codec: adapter.Codec{},
		ReadyPattern: adapter.ReadyPattern, Metrics: metrics.NewRegistry(), Log: events.New(zap.New(core)),
	})
	s.check(err)
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.status = stop, running.Status
	go func() {
		defer close(d.done)
		running.Run(ctx, entry.ReloadOptions{})
		client.Close()
	}()
	s.daemons = append(s.daemons, d)
	s.t.Cleanup(func() { d.end() })
	return d
}

// end stops the daemon if it is running and waits for its end.
func (d *daemon) end() {
	if d.stop == nil {
		return
	}
	d.stop()
	d.stop = nil
	<-d.done
}

func (d *daemon) router() platform.Router { return platform.FixedRouter(d.settings.Data) }

func (d *daemon) ready() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	r, err := client.Get("http://" + d.settings.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// await waits until the condition holds and fails the test after the bound.
func (s *site) await(what string, bound time.Duration, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not within %s", what, bound)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func (s *site) awaitReady(daemons ...*daemon) {
	s.t.Helper()
	for _, d := range daemons {
		s.await(d.settings.Name+" ready", 5*time.Second, d.ready)
	}
}

// request sends one request on a new flow and returns the answer.
func (s *site) request(via *daemon, service netip.AddrPort) (string, error) {
	flow, err := s.caller.Open(via.router(), service)
	if err != nil {
		return "", err
	}
	answer, err := flow.Request(via.router(), "hello")
	if err != nil {
		return "", err
	}
	return answer, flow.Close(via.router())
}

// Guards against a request that fails without any fault. It covers registration,
// the directory, placement, packets in both directions, and the response, which
// bypasses the daemon.
func TestRequestIsServed(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	b := s.addBackend(1, "a")
	d := s.start("a")
	s.awaitReady(d)
	answer, err := s.request(d, serviceAddr)
	is.NoErr(err)
	is.Equal(answer, b.ID+" hello")
	requests, forged, strays := b.Counts()
	is.Equal([]int{requests, forged, strays}, []int{1, 0, 0})
	s.await("registration", 2*time.Second, func() bool { return s.registered(d) })
}

// Guards against flows that depend on the daemon that opened them. Each packet may
// arrive at another daemon, and the first daemon may stop.
func TestFlowSurvivesItsDaemon(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	servers := []*platform.Backend{s.addBackend(1, "a"), s.addBackend(2, "a"), s.addBackend(3, "b")}
	first, second := s.start("a"), s.start("b")
	s.awaitReady(first, second)
	var flows []*platform.Flow
	var answers []string
	for range 10 {
		flow, err := s.caller.Open(first.router(), serviceAddr)
		is.NoErr(err)
		answer, err := flow.Request(first.router(), "1")
		is.NoErr(err)
		flows, answers = append(flows, flow), append(answers, answer)
	}
	first.end()
	for i, flow := range flows {
		answer, err := flow.Request(second.router(), "1")
		is.NoErr(err)
		is.Equal(answer, answers[i])
	}
	for _, b := range servers {
		_, forged, strays := b.Counts()
		is.Equal(forged+strays, 0)
	}
}

// Guards against a flow that is reset by a second server which has accepted it, once its
// packets come through a daemon that did not see it open (review case 3).
func TestFlowAcceptedByTwoServersSurvivesItsDaemon(t *testing.T) {
	s := newSite(t)
	is := is.New(t)
	backends := map[netip.AddrPort]*platform.Backend{}
	for n := range byte(2) {
		b := s.addBackend(n+1, "a")
		backends[b.Endpoint] = b
	}
	first, second := s.start("a"), s.start("a")
	s.awaitReady(first, second)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr(9, 2, dataPort)))
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	src := s.addr(9, 2, 2000)
	send := func(d *daemon, p platform.Packet) {
		p.Src, p.Dst = src, serviceAddr
		_, err := conn.WriteToUDPAddrPort(p.Encode(), d.settings.Data)
		is.NoErr(err)
	}
	receive := func() (platform.Packet, netip.AddrPort) {
		buffer := make([]byte, 2048)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		p, err := platform.DecodePacket(buffer[:n])
		is.NoErr(err)
		return p, from
	}
	send(first, platform.Packet{Seq: 1000, Flags: platform.SYN})
	_, alternate := receive() // a lost answer
	var accepted platform.Packet
	server := alternate
	for copies := uint32(1); server == alternate; copies++ {
		send(first, platform.Packet{Seq: 1000, Ack: copies, Flags: platform.SYN})
		accepted, server = receive()
	}
	send(first, platform.Packet{Seq: 1001, Ack: accepted.Seq, Echo: accepted.Echo, Flags: platform.ACK})
	repeated, from := receive()
	is.Equal(from, alternate)
	is.Equal(repeated.Flags, platform.SYN|platform.ACK)
	is.Equal(repeated.Echo, accepted.Echo) // the cookie of the flow's server
	send(second, platform.Packet{Seq: 1001, Ack: accepted.Seq, Echo: repeated.Echo, Flags: platform.ACK, Data: []byte("request")})
	response, from := receive()
	is.Equal(from, server)
	is.Equal(string(response.Data), backends[server].ID+" request")
}

// Guards against a daemon that reports ready before it has a directory, and against
// a stopping daemon that no longer forwards while the fabric still sends to it.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.addBackend(1, "a")
	endpoint, err := s.store.Listen()
	is.NoErr(err)
	t.Cleanup(endpoint.Close)
	endpoint.SetFault(platform.Unavailable)
	d := s.startAt(1, "a", endpoint)
	s.await("first call", 5*time.Second, func() bool { return endpoint.Calls() > 1 })
	is.True(!d.ready())
	endpoint.SetFault(platform.NoFault)
	s.awaitReady(d)

	d.stop()
	s.await("not ready", time.Second, func() bool { return !d.ready() })
	_, err = s.request(d, serviceAddr)
	is.NoErr(err)
	<-d.done
	d.stop = nil
}

// Guards against a daemon that cannot start while the store is down, although it
// can get the directory from a peer.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.addBackend(1, "a")
	first, second := s.start("a"), s.start("a")
	s.awaitReady(first, second)
	// Both must know each other's registration before the store fails.
	s.await("peers", 5*time.Second, func() bool {
		return first.logs.FilterMessage(events.DirectoryApplied.Message).Len() > 0 && s.registered(second)
	})
	second.end()
	for _, d := range []*daemon{first, second} {
		d.endpoint.SetFault(platform.Unresponsive)
	}
	again := s.startAt(2, "a", second.endpoint)
	s.await("ready from a peer", 5*time.Second, again.ready)
	_, err := s.request(again, serviceAddr)
	is.NoErr(err)
}

// registered reports whether the daemon's registration is in the store.
func (s *site) registered(d *daemon) bool {
	_, ok := s.store.Item("knapweedshore/vms/" + d.settings.Peer.Addr().String())
	return ok
}

// Guards against changes that reach only daemons that watch the store. They must be
// in force within 3 s on all daemons, including one whose calls the store refuses.
func TestChangesReachDaemonsThatTheStoreRefuses(t *testing.T) {
	s := newSite(t)
	s.addBackend(1, "a")
	daemons := []*daemon{s.start("a"), s.start("a"), s.start("b")}
	s.awaitReady(daemons...)
	s.await("registrations", 5*time.Second, func() bool {
		return s.registered(daemons[0]) && s.registered(daemons[1]) && s.registered(daemons[2])
	})
	<-time.After(time.Second) // time for the registrations to reach the other daemons
	daemons[0].endpoint.SetFault(platform.Unavailable)
	added := netip.MustParseAddrPort("198.18.0.2:443")
	s.configure(2, serviceAddr, added)
	changed := time.Now()
	for _, d := range daemons {
		s.await("new route at "+d.settings.Name, 3*time.Second-time.Since(changed), func() bool {
			_, err := s.request(d, added)
			return err == nil
		})
	}
	s.configure(3, serviceAddr)
	changed = time.Now()
	for _, d := range daemons {
		s.await("dropped route at "+d.settings.Name, 3*time.Second-time.Since(changed), func() bool {
			_, err := s.request(d, added)
			return errors.Is(err, platform.ErrReset)
		})
	}
}

// Guards against an entry of another writer among the servers that ends the daemons, stops
// them from following the store, or floods or hides their logs.
func TestOddEntriesDoNotStopTheDirectory(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.addBackend(1, "a")
	registration := func(service, address, slots string) []byte {
		return []byte(`{"service":"` + service + `","address":"` + address + `","zone":"a","version":"v1","slots":` + slots +
			`,"state":"ready","cold_remaining_ms":0,"seq":1}`)
	}
	odd := map[string][]byte{
		"servers/i-odd1": registration("s", "10.0.0.1:80", "1"),
		"servers/i-0dd2": []byte(strings.Repeat(`{"a":`, 100_000)),
		"servers/i-0dd3": registration("s", "10.0.0.1:80", strings.Repeat("9", 100_000)),
		"servers/i-0dd4": registration("s", "10.0.0.1:70000", "1"),
		"servers/i-0dd5": registration("s", strings.Repeat("x", 500_000), "1"),
	}
	put := func() {
		for key, value := range odd {
			s.store.Put(key, value)
		}
	}
	put()
	daemons := []*daemon{s.start("a"), s.start("a")} // one of them gets the entries from the other
	s.awaitReady(daemons...)
	put()
	added := netip.MustParseAddrPort("198.18.0.2:443")
	s.configure(2, serviceAddr, added)
	for _, d := range daemons {
		s.await("new route at "+d.settings.Name, 3*time.Second, func() bool {
			_, err := s.request(d, added)
			return err == nil
		})
		refused := map[string]bool{}
		for _, line := range d.logs.FilterMessage(events.ItemRefused.Message).All() {
			refused["servers/"+line.ContextMap()["subject"].(string)] = true
			is.True(len(line.ContextMap()["reason"].(string)) < 1000)
		}
		is.Equal(len(refused), len(odd))
	}
}

// Guards against new flows to a server more than 3 s after it has announced that it
// is draining, and against open flows that lose their server.
func TestDrainingServer(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	leaving, staying := s.addBackend(1, "a"), s.addBackend(2, "a")
	d := s.start("a")
	s.awaitReady(d)
	var flow *platform.Flow
	s.await("flow on the server that leaves", 5*time.Second, func() bool {
		f, err := s.caller.Open(d.router(), serviceAddr)
		is.NoErr(err)
		answer, err := f.Request(d.router(), "1")
		is.NoErr(err)
		flow = f
		return strings.HasPrefix(answer, leaving.ID)
	})
	s.store.Put(leaving.Key(), leaving.Registration("draining"))
	<-time.After(3 * time.Second)
	before, _, _ := leaving.Counts()
	for range 10 {
		answer, err := s.request(d, serviceAddr)
		is.NoErr(err)
		is.Equal(answer, staying.ID+" hello")
	}
	after, _, _ := leaving.Counts()
	is.Equal(after, before)
	answer, err := flow.Request(d.router(), "2")
	is.NoErr(err)
	is.Equal(answer, leaving.ID+" 2")
}

// Guards against new flows to a zone later than the bound after its evacuation, on a daemon that
// the store serves, on one that it refuses and on one that starts meanwhile without the store,
// against open flows that lose their server, and against a status that hides the evacuation.
func TestEvacuatedZone(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	evacuated, other := s.addBackend(1, "a"), s.addBackend(2, "b")
	first, second := s.start("a"), s.start("a")
	s.awaitReady(first, second)
	s.await("registrations", 5*time.Second, func() bool { return s.registered(first) && s.registered(second) })
	flow, err := s.caller.Open(first.router(), serviceAddr)
	is.NoErr(err)
	answer, err := flow.Request(first.router(), "1")
	is.NoErr(err)
	is.Equal(answer, evacuated.ID+" 1") // the server of the daemon's own zone

	second.endpoint.SetFault(platform.Unavailable)
	s.store.Put("op/evacuate/a", []byte("{}"))
	inForce := func(d *daemon) func() bool {
		return func() bool { return d.logs.FilterMessage(events.ZoneEvacuated.Message).Len() == 1 }
	}
	s.await("evacuation", 3*time.Second, inForce(first))
	s.await("evacuation at a daemon that the store refuses", 3*time.Second, inForce(second))
	second.end()
	again := s.startAt(2, "a", second.endpoint)
	s.awaitReady(again)
	before := evacuated.LastOpened()
	for _, d := range []*daemon{first, again} {
		for range 5 {
			answer, err := s.request(d, serviceAddr)
			is.NoErr(err)
			is.Equal(answer, other.ID+" hello")
		}
	}
	is.Equal(evacuated.LastOpened(), before)
	answer, err = flow.Request(again.router(), "2")
	is.NoErr(err)
	is.Equal(answer, evacuated.ID+" 2")
	raw, err := first.status()
	is.NoErr(err)
	var status entry.Status
	is.NoErr(json.Unmarshal(raw, &status))
	is.Equal(len(status.Evacuations), 1)
	is.Equal(status.Evacuations[0].Zone, "a")
	is.Equal(status.Evacuations[0].Servers, 1)
	is.True(!status.Evacuations[0].Since.IsZero())

	s.store.Delete("op/evacuate/a")
	for _, d := range []*daemon{first, again} {
		s.await("return of the zone at "+d.settings.Name, 3*time.Second, func() bool {
			answer, err := s.request(d, serviceAddr)
			is.NoErr(err)
			return strings.HasPrefix(answer, evacuated.ID)
		})
	}
}

// Guards against flows that fail because a server does not answer although another
// is free: the retransmitted opening packet must go to the other server.
func TestSilentServerLosesItsFlows(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	silent := s.addBackend(1, "a")
	s.addBackend(2, "a")
	d := s.start("a")
	s.awaitReady(d)
	silent.SetUnresponsive(true)
	for range 6 {
		_, err := s.request(d, serviceAddr)
		is.NoErr(err)
	}
}

// Guards against a daemon that does not notice a server that fails requests, or does not use
// it again after it has recovered.
func TestFailingServerLosesItsFlows(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	backends := map[string]*platform.Backend{}
	for n := range byte(4) {
		b := s.addBackend(n+1, "a")
		backends[b.ID+" hello"] = b
	}
	d := s.start("a")
	s.awaitReady(d)
	request := func() string {
		answer, err := s.request(d, serviceAddr)
		is.NoErr(err)
		return answer
	}
	for range 40 {
		request()
	}
	failing := backends[request()]
	failing.SetFailing(true)
	logged := func(e events.Event) func() bool {
		return func() bool {
			request()
			return d.logs.FilterMessage(e.Message).Len() > 0
		}
	}
	s.await("failing server noticed", 10*time.Second, logged(events.ServerFails))
	failed := 0
	for range 50 {
		if request() == "err" {
			failed++
		}
	}
	is.True(failed <= 10) // a trial is one flow in 20 of the server's
	failing.SetFailing(false)
	s.await("server serves again", 20*time.Second, logged(events.ServerServes))
}

// Guards against changed settings that have no effect, and against an invalid file
// that stops the daemon.
func TestReload(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	d := s.start("a")
	s.awaitReady(d)
	d.end()

	path := filepath.Join(t.TempDir(), "entry.ini")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	good := fmt.Sprintf("[vm]\nname = vm1\nregion = r\nzone = a\n[addresses]\ndata = %s\nready = %s\npeer = %s\nstore = %s\n",
		d.settings.Data, d.settings.Ready, d.settings.Peer, d.settings.Store)
	write(good)
	loaded, err := settings.LoadEntry(path)
	is.NoErr(err)
	core, logs := observer.New(zapcore.InfoLevel)
	client := adapter.NewStore(loaded.Store)
	running, err := entry.New(entry.Options{
		Settings: loaded, Source: client, Decoder: adapter.Decoder{}, Codec: adapter.Codec{},
		ReadyPattern: adapter.ReadyPattern, Metrics: metrics.NewRegistry(), Log: events.New(zap.New(core)),
	})
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	var level string
	done := make(chan struct{})
	go func() {
		defer close(done)
		running.Run(ctx, entry.ReloadOptions{Path: path, Signal: signals, SetLevel: func(b []byte) error { level = string(b); return nil }})
		client.Close()
	}()
	logged := func(e events.Event) func() bool {
		return func() bool { return logs.FilterMessage(e.Message).Len() > 0 }
	}
	s.await("start", 5*time.Second, logged(events.Ready))
	write("[vm]\nname = ?\n")
	s.await("refusal of a faulty file", 5*time.Second, logged(events.ReloadRefused))
	write(strings.Replace(good, "zone = a", "zone = b", 1) + "[log]\nlevel = warn\n")
	signals <- os.Interrupt
	s.await("change", 5*time.Second, logged(events.Reloaded))
	stop()
	<-done
	is.Equal(level, "warn")
	fields := logs.FilterMessage(events.Reloaded.Message).All()[0].ContextMap()
	is.Equal(fmt.Sprint(fields["restart"]), "[vm.zone]")
}
