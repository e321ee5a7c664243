// Package entrysite runs a whole site of entry daemons in one process. The platform's
// store, routers, callers and backend servers are stand-ins; the daemons are real. It
// makes planned changes and a crash under traffic and checks what callers and servers
// observed.
package entrysite

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"knapweedshore.example/internal/entry"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/wait"
	adapter "knapweedshore.example/platform"
	"knapweedshore.example/standin/platform"
)

// Ports that all machines of the site share.
const (
	dataPort   = 8172
	readyPort  = 8167
	peerPort   = 7720
	serverPort = 8080
)

// Address groups in the site's network, one for each kind of machine.
const (
	daemonGroup = 1
	serverGroup = 2
	callerGroup = 3
	proberGroup = 4
)

// Sizes of the site.
const (
	zones          = 2
	daemonsPerZone = 2
	serversPerPool = 3 // in each zone
	callers        = 24
)

// Addresses of the services. The route to addedAddr is added and dropped during a run.
var (
	counterAddr = netip.MustParseAddrPort("198.18.0.1:443")
	guideAddr   = netip.MustParseAddrPort("198.18.0.2:443")
	addedAddr   = netip.MustParseAddrPort("198.18.0.3:443")
)

// Names of the pools.
const (
	counterPool = "counter"
	guidePool   = "guides"
)

// gracePeriod is the daemons' setting for the time between SIGTERM and SIGKILL.
const gracePeriod = 3 * time.Second

// Config configures a run.
type Config struct {
	// Seed determines the random choices of callers and routers.
	Seed     uint64
	Duration time.Duration
	// Still disables the changes and the crash, so that only traffic runs.
	Still bool
}

// site is a running site.
type site struct {
	config   Config
	progress func(string)
	network  *platform.Network
	random   *rand.Rand
	store    *platform.Store
	daemons  []*machine
	router   *platform.Rotation
	report   report
	// checks run concurrently with later changes and end before the summary is made.
	checks sync.WaitGroup

	mu      sync.Mutex // guards servers, to which the changes add servers under traffic
	servers []*platform.Backend
}

// machine is an entry VM. It runs one daemon at a time.
type machine struct {
	settings *settings.Entry
	endpoint *platform.Endpoint
	daemon   *entry.Daemon
	// stop stops the daemon gracefully; done is closed when it has ended.
	stop context.CancelFunc
	done chan struct{}
}

// Run runs a site and returns the summary. It calls progress with a line for each
// change.
func Run(ctx context.Context, c Config, progress func(string)) (*Summary, error) {
	network, err := platform.ClaimNetwork()
	if err != nil {
		return nil, err
	}
	defer network.Release()
	s := &site{
		config: c, progress: progress, network: network,
		random: rand.New(rand.NewPCG(c.Seed, 0)), store: platform.NewStore(),
	}
	defer s.close()
	if err := s.build(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	runCtx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	traffic, err := s.startCallers(runCtx)
	if err != nil {
		return nil, err
	}
	var changesErr error
	if !c.Still {
		changesErr = s.playChanges(runCtx, began)
	}
	traffic.Wait()
	s.checks.Wait()
	if changesErr != nil && runCtx.Err() == nil {
		return nil, changesErr
	}
	return s.report.summary(s.servers, time.Since(began)), nil
}

func (s *site) addr(group, n byte, port uint16) netip.AddrPort { return s.network.Addr(group, n, port) }

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// build starts servers and daemons and waits until all daemons are in the rotation.
func (s *site) build(ctx context.Context) error {
	s.configure(1, false)
	for zone := range zones {
		for _, pool := range []string{counterPool, guidePool} {
			for range serversPerPool {
				if err := s.addServer(pool, zoneName(zone)); err != nil {
					return err
				}
			}
		}
	}
	s.router = platform.NewRotation(s.config.Seed)
	for zone := range zones {
		for range daemonsPerZone {
			if err := s.addMachine(zoneName(zone)); err != nil {
				return err
			}
		}
	}
	go s.router.Poll(ctx)
	return s.await(ctx, "all daemons ready", 10*time.Second, func() bool { return s.router.InRotation() == len(s.daemons) })
}

// addServer starts a server and registers it.
func (s *site) addServer(pool, zone string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := byte(len(s.servers) + 1)
	b, err := platform.NewBackend(s.addr(serverGroup, n, serverPort), 0x51000000+uint64(n), pool, zone, dataPort)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, b)
	s.store.Put(b.Key(), b.Registration("ready"))
	return nil
}

// addMachine adds a machine with its own endpoint of the store and starts its daemon.
func (s *site) addMachine(zone string) error {
	endpoint, err := s.store.Listen()
	if err != nil {
		return err
	}
	n := byte(len(s.daemons) + 1)
	m := &machine{endpoint: endpoint, settings: &settings.Entry{
		Name: fmt.Sprint("entry-", n), Region: "region", Zone: zone, Data: s.addr(daemonGroup, n, dataPort),
		Ready: s.addr(daemonGroup, n, readyPort), Peer: s.addr(daemonGroup, n, peerPort),
		PeerListen: s.addr(daemonGroup, n, peerPort), Store: endpoint.Addr(),
		Seeds:       []netip.AddrPort{s.addr(daemonGroup, 1, peerPort), s.addr(daemonGroup, 2, peerPort)},
		GracePeriod: gracePeriod, RecoveryTime: 4 * time.Second, DrainTime: 3 * time.Second, ConfigTime: 3 * time.Second, FlowLifetime: time.Minute, LogLevel: "info",
		ResetGoneFlows: true, AvoidFailingServers: true,
	}}
	s.daemons = append(s.daemons, m)
	s.router.Add(m.settings.Data, m.settings.Ready)
	return m.start()
}

// start runs a new daemon on the machine.
func (m *machine) start() error {
	client := adapter.NewStore(m.endpoint.Addr())
	d, err := entry.New(entry.Options{
		Settings: m.settings, Source: client, Decoder: adapter.Decoder{}, Codec: adapter.Codec{},
		ReadyPattern: adapter.ReadyPattern, Metrics: metrics.NewRegistry(), Log: events.New(zap.NewNop()),
	})
	if err != nil {
		return errors.Wrapf(err, "start %s", m.settings.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.daemon, m.stop, m.done = d, stop, make(chan struct{})
	done := m.done
	go func() {
		defer close(done)
		d.Run(ctx, entry.ReloadOptions{})
		client.Close()
	}()
	return nil
}

// configure writes a configuration to the store, with or without the added route.
func (s *site) configure(version int, added bool) {
	route := func(name string, addr netip.AddrPort, pool string) map[string]any {
		return map[string]any{
			"name": name, "host": addr.Addr().String(), "prefix": fmt.Sprintf("/%d/", addr.Port()), "kind": "unsafe",
			"timeout_ms": 3000, "target_latency_ms": 150, "service": pool,
		}
	}
	routes := []any{route("counter", counterAddr, counterPool), route("guides", guideAddr, guidePool)}
	if added {
		routes = append(routes, route("added", addedAddr, counterPool))
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{}, "limits": map[string]any{}})
	if err != nil {
		panic(err) // cannot happen: the value has only plain types
	}
	s.store.Put("op/config", value)
}

// await waits until the condition holds. It returns an error if that takes longer than
// bound.
func (s *site) await(ctx context.Context, what string, bound time.Duration, condition func() bool) error {
	if wait.Until(ctx, bound, condition) {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Errorf("%s: not within %s", what, bound)
}

// close stops all daemons, store endpoints and servers.
func (s *site) close() {
	for _, m := range s.daemons {
		if m.daemon != nil {
			m.daemon.Kill()
			<-m.done
			m.stop()
		}
		m.endpoint.Close()
	}
	for _, b := range s.servers {
		b.Close()
	}
}
