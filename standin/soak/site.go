package soak

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/wait"
	"knapweedshore.example/standin/platform"
)

// Groups of addresses in the site's network.
const (
	daemonGroup  = 1
	serverGroup  = 2
	callerGroup  = 3
	proberGroup  = 4
	peerGroup    = 5 // the addresses by which daemons know each other
	storeGroup   = 6
	serversGroup = 7 // the addresses under which servers register
)

// Ports that all machines share.
const (
	dataPort    = 8172
	readyPort   = 8167
	peerPort    = 7720
	metricsPort = 7735
	serverPort  = 8080
	storePort   = 8169
)

// Routes, which are also the names of their pools.
const (
	counterRoute = "counter"
	guideRoute   = "guides"
	// addedRoute comes and goes; it leads to the pool of counterRoute.
	addedRoute = "added"
)

var routes = map[string]netip.AddrPort{
	counterRoute: netip.MustParseAddrPort("198.18.0.1:443"),
	guideRoute:   netip.MustParseAddrPort("198.18.0.2:443"),
	addedRoute:   netip.MustParseAddrPort("198.18.0.3:443"),
}

// Sizes of the site.
const (
	counterServers = 3 // in each zone
	guideServers   = 2
	callers        = 24
	// leastServers of a pool stay ready.
	leastServers = 3
)

// site is the running site.
type site struct {
	config     Config
	dir        string
	network    *platform.Network
	store      *platform.Store
	conditions *conditions
	rotation   *platform.Rotation
	judge      *judge
	machines   []*machine
	endpoints  []*platform.Endpoint

	callers, steps conc.WaitGroup
	// relays end when running ends and their sockets are closed.
	running context.Context
	stop    context.CancelFunc
	relays  conc.WaitGroup
	sockets []interface{ Close() error }
	peers   []*net.UDPConn

	mu      sync.Mutex
	random  *rand.Rand
	servers []*serverHost
	numbers uint64
	version int
	present bool
}

// serverHost is a machine on which backend servers run one after the other.
type serverHost struct {
	index   int
	zone    int
	in      *net.UDPConn
	backend *platform.Backend
	// ready servers take new flows.
	ready bool
	past  []*platform.Backend
}

func newSite(c Config, dir string) (*site, error) {
	network, err := platform.ClaimNetwork()
	if err != nil {
		return nil, err
	}
	s := &site{
		config: c, dir: dir, network: network, store: platform.NewStore(), conditions: newConditions(),
		rotation: platform.NewRotation(c.Seed), judge: newJudge(), random: rand.New(rand.NewPCG(c.Seed, 0x51)), numbers: 0x51000000,
	}
	s.running, s.stop = context.WithCancel(context.Background())
	if err := s.build(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) build() error {
	s.configure(false)
	for zone := range s.config.Zones {
		for i := range counterServers + guideServers {
			pool := counterRoute
			if i >= counterServers {
				pool = guideRoute
			}
			if _, err := s.addServer(pool, zone); err != nil {
				return err
			}
		}
	}
	seeds := s.network.Addr(peerGroup, 1, peerPort).String() + "," + s.network.Addr(peerGroup, 2, peerPort).String()
	for i := range s.config.Zones * s.config.DaemonsPerZone {
		m := s.newMachine(i)
		m.seeds = seeds
		s.machines = append(s.machines, m)
	}
	for i, m := range s.machines {
		if err := m.settings("info"); err != nil {
			return err
		}
		if err := s.relayStore(i); err != nil {
			return err
		}
		if err := s.relayPeers(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) newMachine(i int) *machine {
	n := byte(i + 1)
	return &machine{
		number: i, zone: i / s.config.DaemonsPerZone, name: fmt.Sprint("entry-", i), config: s.config, dir: s.dir, judge: s.judge,
		data: s.network.Addr(daemonGroup, n, dataPort), ready: s.network.Addr(daemonGroup, n, readyPort),
		metrics: s.network.Addr(daemonGroup, n, metricsPort), bound: s.network.Addr(daemonGroup, n, peerPort),
		peer: s.network.Addr(peerGroup, n, peerPort), store: s.network.Addr(storeGroup, n, storePort),
	}
}

// machineAt returns the machine that sends from an address, or nil.
func (s *site) machineAt(a netip.Addr) *machine {
	for _, m := range s.machines {
		if m.bound.Addr() == a {
			return m
		}
	}
	return nil
}

// relayStore gives a daemon an endpoint of the store behind a relay.
func (s *site) relayStore(i int) error {
	endpoint, err := s.store.Listen()
	if err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, endpoint)
	listener, err := net.Listen("tcp4", s.machines[i].store.String())
	if err != nil {
		return errors.Wrap(err, "listen for store calls")
	}
	s.sockets = append(s.sockets, listener)
	s.relays.Go(func() {
		relayConnections(s.running, s.conditions, listener, func(netip.Addr) (net.Conn, direction, error) {
			conn, err := net.Dial("tcp4", endpoint.Addr().String())
			return conn, direction{daemonNode(i), storeNode}, err
		})
	})
	return nil
}

// relayPeers passes on what other daemons send to daemon i. It arrives from the
// address by which i knows its sender.
func (s *site) relayPeers(i int) error {
	m := s.machines[i]
	in, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.peer))
	if err != nil {
		return errors.Wrap(err, "listen for reports")
	}
	s.sockets, s.peers = append(s.sockets, in), append(s.peers, in)
	s.relays.Go(func() {
		relayDatagrams(s.conditions, in, func(from netip.Addr, _ []byte) (direction, func([]byte), bool) {
			sender := s.machineAt(from)
			if sender == nil {
				return direction{}, nil, false
			}
			return direction{daemonNode(sender.number), daemonNode(i)}, func(b []byte) {
				// A lost report is what the daemons have to live with.
				_, _ = s.peers[sender.number].WriteToUDPAddrPort(b, m.bound)
			}, true
		})
	})
	listener, err := net.Listen("tcp4", m.peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	s.sockets = append(s.sockets, listener)
	s.relays.Go(func() {
		relayConnections(s.running, s.conditions, listener, func(from netip.Addr) (net.Conn, direction, error) {
			sender := s.machineAt(from)
			if sender == nil {
				return nil, direction{}, errors.Errorf("no daemon has the address %s", from)
			}
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: sender.peer.Addr().AsSlice()}}
			conn, err := dialer.Dial("tcp4", m.bound.String())
			return conn, direction{daemonNode(sender.number), daemonNode(i)}, err
		})
	})
	return nil
}

// addServer starts a server on a host of its own.
func (s *site) addServer(pool string, zone int) (*serverHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := &serverHost{index: len(s.servers), zone: zone}
	in, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.network.Addr(serversGroup, byte(host.index+1), serverPort)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a server's packets")
	}
	host.in = in
	s.servers, s.sockets = append(s.servers, host), append(s.sockets, in)
	if err := s.occupy(host, pool); err != nil {
		return nil, err
	}
	s.relays.Go(func() { s.relayServer(host) })
	return host, nil
}

// occupy starts a server on a host whose former one has gone. s.mu is held.
func (s *site) occupy(host *serverHost, pool string) error {
	s.numbers++
	backend, err := platform.NewBackend(s.network.Addr(serverGroup, byte(host.index+1), serverPort), s.numbers, pool, zoneName(host.zone), dataPort)
	if err != nil {
		return err
	}
	backend.Endpoint = s.network.Addr(serversGroup, byte(host.index+1), serverPort)
	host.backend, host.ready = backend, true
	host.past = append(host.past, backend)
	s.store.Put(backend.Key(), backend.Registration("ready"))
	return nil
}

// numberLength is the size of the server's number before each packet.
const numberLength = 8

// relayServer passes packets of the daemons on to the server on a host, and shows
// the judge those that open flows.
func (s *site) relayServer(host *serverHost) {
	to := s.network.Addr(serverGroup, byte(host.index+1), serverPort)
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		s.judge.violated("relay of server %d: %v", host.index, err)
		return
	}
	defer func() { _ = out.Close() }() // nothing is read from it
	relayDatagrams(s.conditions, host.in, func(from netip.Addr, b []byte) (direction, func([]byte), bool) {
		sender := s.machineAt(from)
		if sender == nil || len(b) <= numberLength {
			return direction{}, nil, false
		}
		s.showOpening(sender.number, b)
		return direction{daemonNode(sender.number), serverNode(host.index)}, func(b []byte) {
			_, _ = out.Write(b) // the server may be down
		}, true
	})
}

// showOpening shows the judge a packet that opens a flow.
func (s *site) showOpening(daemon int, b []byte) {
	p, err := platform.DecodePacket(b[numberLength:])
	if err != nil || p.Flags&platform.SYN == 0 || p.Ack != 0 {
		return // copies may go to a server that has accepted the flow already
	}
	for name, address := range routes {
		if address == p.Dst {
			s.judge.opening(daemon, binary.BigEndian.Uint64(b), name, time.Now())
		}
	}
}

// configure writes the next configuration, with or without the added route.
func (s *site) configure(present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.present = present
	var list []any
	for name, a := range routes {
		pool := name
		if name == addedRoute {
			if !present {
				continue
			}
			pool = counterRoute
		}
		list = append(list, map[string]any{
			"name": name, "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "kind": "unsafe",
			"timeout_ms": 3000, "target_latency_ms": 150, "service": pool,
		})
	}
	value, err := json.Marshal(map[string]any{"version": s.version, "routes": list, "services": []any{}, "limits": map[string]any{}})
	if err != nil {
		panic(err) // the value is made of plain types
	}
	s.store.Put("op/config", value)
	s.judge.changed(present)
}

// start runs all daemons and waits until the routers use them.
func (s *site) start(ctx context.Context) error {
	for _, m := range s.machines {
		s.rotation.Add(m.data, m.ready)
		m.start()
	}
	s.relays.Go(func() { s.rotation.Poll(s.running) })
	if !wait.Until(ctx, readyBound, func() bool { return s.rotation.InRotation() == len(s.machines) }) {
		return errors.Errorf("%d of %d daemons ready within %s", s.rotation.InRotation(), len(s.machines), readyBound)
	}
	return nil
}

// close ends everything that was started.
func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	s.stop()
	for _, socket := range s.sockets {
		_ = socket.Close() // ends its relay
	}
	s.relays.Wait()
	for _, e := range s.endpoints {
		e.Close()
	}
	for _, host := range s.servers {
		if host.backend != nil {
			host.backend.Close()
		}
	}
	s.network.Release()
}
