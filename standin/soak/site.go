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

// Address groups in the site's network, one for each kind of machine or relay.
const (
	daemonGroup     = 1
	serverGroup     = 2
	callerGroup     = 3
	proberGroup     = 4
	peerGroup       = 5 // relays to daemons; the addresses that daemons use for each other
	storeGroup      = 6 // relays to the store
	registeredGroup = 7 // relays to servers; the addresses in their registrations
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

// Names of routes, which are also the names of their pools.
const (
	counterRoute = "counter"
	guideRoute   = "guides"
	// toggledRoute is added and dropped during a run. Its pool is that of counterRoute.
	toggledRoute = "added"
)

// routes holds the address of each route.
var routes = map[string]netip.AddrPort{
	counterRoute: netip.MustParseAddrPort("198.18.0.1:443"),
	guideRoute:   netip.MustParseAddrPort("198.18.0.2:443"),
	toggledRoute: netip.MustParseAddrPort("198.18.0.3:443"),
}

// Sizes of the site.
const (
	counterServers = 3 // in each zone
	guideServers   = 2 // in each zone
	callers        = 24
	// minReadyServers is the number of servers of a pool that steps leave ready.
	minReadyServers = 3
)

// Keys of the store.
const (
	configKey     = "op/config"
	serversPrefix = "servers/"
)

// site is a running site: daemons in processes of their own, and callers, servers, the
// store and relays between them in this process.
type site struct {
	config     Config
	dir        string
	network    *platform.Network
	store      *platform.Store
	linkFaults *linkFaults
	router     *platform.Rotation
	checker    *checker
	machines   []*machine
	endpoints  []*platform.Endpoint

	callers, steps conc.WaitGroup
	// relays end once the context running has ended and their sockets are closed.
	running     context.Context
	stop        context.CancelFunc
	relays      conc.WaitGroup
	sockets     []interface{ Close() error }
	peerSockets []*net.UDPConn

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	servers      []*serverHost
	lastNumber   uint64 // number of the last server or prober
	version      int    // version of the last configuration
	routePresent bool   // whether it has toggledRoute
	configValue  []byte // its encoded form
	// registered holds the current registrations by key, whether the store has them or not.
	registered map[string]*registration
	// evacuated holds the zones whose evacuation is in force.
	evacuated map[int]bool
	// restoring is held while the store is restored, and to end an evacuation: a daemon that
	// misses the end during a restore would keep the evacuation.
	restoring sync.Mutex
}

// serverHost is a machine on which one backend server runs at a time.
type serverHost struct {
	index     int
	zone      int
	relayConn *net.UDPConn
	backend   *platform.Backend
	// ready reports whether the server accepts new flows.
	ready    bool
	backends []*platform.Backend // all servers that have run here
}

func newSite(c Config, dir string) (*site, error) {
	network, err := platform.ClaimNetwork()
	if err != nil {
		return nil, err
	}
	s := &site{
		config: c, dir: dir, network: network, store: platform.NewStore(), linkFaults: newLinkFaults(),
		router: platform.NewRotation(c.Seed), checker: newChecker(), random: rand.New(rand.NewPCG(c.Seed, 0x51)), lastNumber: 0x51000000, registered: map[string]*registration{}, evacuated: map[int]bool{},
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
	// The relays to the servers look the machines up.
	seeds := s.network.Addr(peerGroup, 1, peerPort).String() + "," + s.network.Addr(peerGroup, 2, peerPort).String()
	for i := range s.config.Zones * s.config.DaemonsPerZone {
		m := s.newMachine(i)
		m.seeds = seeds
		s.machines = append(s.machines, m)
	}
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
	for i, m := range s.machines {
		if err := m.writeSettings("info"); err != nil {
			return err
		}
		if err := s.relayStore(i); err != nil {
			return err
		}
		if err := s.listenForPeers(m); err != nil {
			return err
		}
	}
	// A relay sends from the sockets of all daemons, so none starts before all are open.
	for i := range s.machines {
		if err := s.relayPeers(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) newMachine(i int) *machine {
	n := byte(i + 1)
	return &machine{
		number: i, zone: i / s.config.DaemonsPerZone, name: fmt.Sprint("entry-", i), config: s.config, dir: s.dir, checker: s.checker,
		data: s.network.Addr(daemonGroup, n, dataPort), ready: s.network.Addr(daemonGroup, n, readyPort),
		metrics: s.network.Addr(daemonGroup, n, metricsPort), peerListen: s.network.Addr(daemonGroup, n, peerPort),
		peer: s.network.Addr(peerGroup, n, peerPort), store: s.network.Addr(storeGroup, n, storePort),
	}
}

// machineByAddr returns the machine whose daemon sends from an address, or nil.
func (s *site) machineByAddr(addr netip.Addr) *machine {
	for _, m := range s.machines {
		if m.peerListen.Addr() == addr {
			return m
		}
	}
	return nil
}

// relayStore starts an endpoint of the store for a daemon and a relay to it.
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
		relayConnections(s.running, s.linkFaults, listener, func(netip.Addr) (net.Conn, direction, error) {
			conn, err := net.Dial("tcp4", endpoint.Addr().String())
			return conn, direction{daemonNode(i), storeNode}, err
		})
	})
	return nil
}

// listenForPeers opens the socket at the peer address of a daemon. Reports to the
// daemon arrive there, and those from it are sent from there.
func (s *site) listenForPeers(m *machine) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.peer))
	if err != nil {
		return errors.Wrapf(err, "listen for reports to %s", m.name)
	}
	s.sockets, s.peerSockets = append(s.sockets, socket), append(s.peerSockets, socket)
	return nil
}

// relayPeers starts relays for the reports and calls from other daemons to daemon i.
// Daemon i receives them from the peer address of the sender.
func (s *site) relayPeers(i int) error {
	m := s.machines[i]
	s.relays.Go(func() {
		relayDatagrams(s.linkFaults, s.peerSockets[i], func(from netip.Addr, _ []byte) (direction, func([]byte), bool) {
			sender := s.machineByAddr(from)
			if sender == nil {
				return direction{}, nil, false
			}
			return direction{daemonNode(sender.number), daemonNode(i)}, func(b []byte) {
				// Daemons have to tolerate lost reports.
				_, _ = s.peerSockets[sender.number].WriteToUDPAddrPort(b, m.peerListen)
			}, true
		})
	})
	listener, err := net.Listen("tcp4", m.peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	s.sockets = append(s.sockets, listener)
	s.relays.Go(func() {
		relayConnections(s.running, s.linkFaults, listener, func(from netip.Addr) (net.Conn, direction, error) {
			sender := s.machineByAddr(from)
			if sender == nil {
				return nil, direction{}, errors.Errorf("no daemon has the address %s", from)
			}
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: sender.peer.Addr().AsSlice()}}
			conn, err := dialer.Dial("tcp4", m.peerListen.String())
			return conn, direction{daemonNode(sender.number), daemonNode(i)}, err
		})
	})
	return nil
}

// addServer starts a server on a new host.
func (s *site) addServer(pool string, zone int) (*serverHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := &serverHost{index: len(s.servers), zone: zone}
	in, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.network.Addr(registeredGroup, byte(host.index+1), serverPort)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a server's packets")
	}
	host.relayConn = in
	s.servers, s.sockets = append(s.servers, host), append(s.sockets, in)
	if err := s.startServer(host, pool); err != nil {
		return nil, err
	}
	s.relays.Go(func() { s.relayServer(host) })
	return host, nil
}

// startServer starts and registers a server on a host that has none or whose previous
// one has stopped. s.mu must be held.
func (s *site) startServer(host *serverHost, pool string) error {
	s.lastNumber++
	backend, err := platform.NewBackend(s.network.Addr(serverGroup, byte(host.index+1), serverPort), s.lastNumber, pool, zoneName(host.zone), dataPort)
	if err != nil {
		return err
	}
	backend.Endpoint = s.network.Addr(registeredGroup, byte(host.index+1), serverPort)
	host.backend, host.ready = backend, true
	host.backends = append(host.backends, backend)
	s.registerLocked(backend, "ready")
	return nil
}

// envelopeLength is the size in bytes of the server number that precedes each packet.
const envelopeLength = 8

// relayServer forwards packets from the daemons to the server of a host and checks
// those that open flows.
func (s *site) relayServer(host *serverHost) {
	serverAddr := s.network.Addr(serverGroup, byte(host.index+1), serverPort)
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(serverAddr))
	if err != nil {
		s.checker.addViolation("start relay to server %d: %v", host.index, err)
		return
	}
	defer func() { _ = out.Close() }() // nothing is read from it
	relayDatagrams(s.linkFaults, host.relayConn, func(from netip.Addr, b []byte) (direction, func([]byte), bool) {
		sender := s.machineByAddr(from)
		if sender == nil || len(b) <= envelopeLength {
			return direction{}, nil, false
		}
		s.observeOpening(sender.number, host.zone, b)
		return direction{daemonNode(sender.number), serverNode(host.index)}, func(b []byte) {
			_, _ = out.Write(b) // the server may be down
		}, true
	})
}

// observeOpening passes a packet that opens a flow at a server of a zone to the checker.
func (s *site) observeOpening(daemon, zone int, b []byte) {
	p, err := platform.DecodePacket(b[envelopeLength:])
	if err != nil || p.Flags&platform.SYN == 0 {
		return
	}
	s.checker.checkCopy(daemon, zone, time.Now())
	if p.Ack != 0 {
		return // a retransmitted SYN may go to a server that has already accepted the flow
	}
	for name, addr := range routes {
		if addr == p.Dst {
			s.checker.checkOpening(daemon, binary.BigEndian.Uint64(b), name, time.Now())
		}
	}
}

// configure writes the next configuration to the store, with or without toggledRoute.
func (s *site) configure(present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.routePresent = present
	var entries []any
	for name, addr := range routes {
		pool := name
		if name == toggledRoute {
			if !present {
				continue
			}
			pool = counterRoute
		}
		entries = append(entries, map[string]any{
			"name": name, "host": addr.Addr().String(), "prefix": fmt.Sprintf("/%d/", addr.Port()), "kind": "unsafe",
			"timeout_ms": 3000, "target_latency_ms": 150, "service": pool,
		})
	}
	value, err := json.Marshal(map[string]any{"version": s.version, "routes": entries, "services": []any{}, "limits": map[string]any{}})
	if err != nil {
		panic(err) // cannot happen: the value has only plain types
	}
	s.configValue = value
	s.store.Put(configKey, value)
	s.checker.recordRouteChange(present)
}

// start starts all daemons and waits until they are in the rotation.
func (s *site) start(ctx context.Context) error {
	for _, m := range s.machines {
		s.router.Add(m.data, m.ready)
		m.start()
	}
	s.relays.Go(func() { s.router.Poll(s.running) })
	if !wait.Until(ctx, readyBound, func() bool { return s.router.InRotation() == len(s.machines) }) {
		return errors.Errorf("%d of %d daemons ready within %s", s.router.InRotation(), len(s.machines), readyBound)
	}
	return nil
}

// close stops all processes, relays, store endpoints and servers.
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
