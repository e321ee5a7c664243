// Package balancer builds and runs one daemon.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/forward"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/internal/tablesync"
)

// DefaultLeavePeriod is how long a leaving daemon goes on forwarding after its
// hand-over: until the new owners no longer ask it for unknown flows.
const DefaultLeavePeriod = forward.PredecessorPeriod

// Options holds what a Balancer is built from.
type Options struct {
	Settings *settings.Settings
	Store    store.Store
	Logger   *zap.Logger
	// Credentials replace the key files named in the settings.
	Credentials *peer.Credentials
	// Metrics replaces a new registry, for processes with several daemons.
	Metrics *metrics.Registry
	// LeavePeriod replaces DefaultLeavePeriod.
	LeavePeriod time.Duration
	// Policy replaces the Chooser, for comparisons.
	Policy selection.Policy
}

// Balancer is one daemon.
type Balancer struct {
	settings *settings.Settings
	log      *events.Logger
	metrics  *metrics.Registry
	started  time.Time
	leaving  time.Duration

	members *member.Table
	node    *peer.Node
	tables  *tablesync.Syncer
	policy  selection.Policy
	flows   *flow.Table
	held    *exception.Table
	sender  *exception.Sender
	keeper  *exception.Manager
	engine  *forward.Engine
	tracker *forward.Tracker
	conns   []carrier.Conn

	moved chan struct{}
	// unfinished counts the hand-overs that are due or running.
	unfinished atomic.Int32
	reassess   chan struct{}
	stop       context.CancelFunc
	stopOnce   sync.Once
	running    atomic.Bool
	done       chan struct{}
}

// New opens the daemon's sockets and builds its parts. The caller must call
// Run or Kill.
func New(o Options) (*Balancer, error) {
	b := newBalancer(o)
	credentials, err := credentialsOf(o)
	if err != nil {
		return nil, errors.Wrap(err, "load keys")
	}
	if err := b.listenData(); err != nil {
		return nil, err
	}
	if err := b.build(o, credentials); err != nil {
		b.closeData()
		return nil, err
	}
	return b, nil
}

func newBalancer(o Options) *Balancer {
	b := &Balancer{
		settings: o.Settings,
		log:      events.New(o.Logger).With(zap.String("vm", o.Settings.Name)),
		metrics:  o.Metrics,
		started:  time.Now(),
		leaving:  o.LeavePeriod,
		policy:   o.Policy,
		flows:    flow.NewTable(o.Settings.MaxFlows),
		held:     exception.NewTable(exception.MaxEntries),
		tracker:  forward.NewTracker(),
		moved:    make(chan struct{}, 1),
		reassess: make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	if b.metrics == nil {
		b.metrics = metrics.NewRegistry()
	}
	if b.leaving == 0 {
		b.leaving = DefaultLeavePeriod
	}
	if b.policy == nil {
		b.policy = selection.NewChooser(b.started, b.serverChanged)
	}
	return b
}

func credentialsOf(o Options) (*peer.Credentials, error) {
	if o.Credentials != nil {
		return o.Credentials, nil
	}
	s := o.Settings
	return peer.LoadCredentials(s.TLS.CA, s.TLS.Cert, s.TLS.Key)
}

func (b *Balancer) listenData() error {
	conns, err := carrier.Listen(b.settings.Data, b.settings.Workers, carrier.CountRefusals(b.metrics))
	if err != nil {
		return errors.Wrapf(err, "listen for packets on %s", b.settings.Data)
	}
	b.conns = conns
	return nil
}

func (b *Balancer) closeData() {
	for _, c := range b.conns {
		_ = c.Close() // the daemon ends anyway
	}
}

// build makes the parts in the order in which they need each other.
func (b *Balancer) build(o Options, credentials *peer.Credentials) error {
	listener, err := net.Listen("tcp", b.settings.Control.String())
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", b.settings.Control)
	}
	if err := b.buildControl(o, credentials, listener); err != nil {
		_ = listener.Close() // the first error is the one to report
		return err
	}
	b.buildData()
	b.connect()
	return nil
}

func (b *Balancer) buildControl(o Options, credentials *peer.Credentials, listener net.Listener) (err error) {
	b.members, err = member.New(member.Config{
		Self:        b.record(listener),
		ExpectPeers: b.expectPeers(o.Store),
		Events:      b.log,
		Metrics:     b.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "make own member record")
	}
	b.tables, err = tablesync.New(tablesync.Config{
		Members: b.members, Store: o.Store, Events: b.log, Metrics: b.metrics,
	})
	if err != nil {
		return err
	}
	b.node, err = peer.New(peer.Config{
		Table: b.members, Tables: b.tables, Handler: b, Credentials: credentials,
		Listener: listener, Contacts: b.settings.Seeds, Directory: o.Store,
		Events: b.log, Metrics: b.metrics,
	})
	return err
}

// record describes this VM to the others.
func (b *Balancer) record(listener net.Listener) member.Member {
	return member.Member{
		Name:     member.Name(b.settings.Name),
		Region:   b.settings.Region,
		Zone:     b.settings.Zone,
		Control:  netip.MustParseAddrPort(listener.Addr().String()),
		Data:     b.conns[0].LocalAddr(),
		Capacity: b.settings.Capacity,
	}
}

// directoryTimeout bounds the first look at the platform's list, so that a
// store outage does not delay the start.
const directoryTimeout = 2 * time.Second

// expectPeers reports whether other VMs are configured or listed.
func (b *Balancer) expectPeers(s store.Store) bool {
	if len(b.settings.Seeds) > 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	vms, err := s.VMs(ctx)
	if err != nil {
		return true // unknown: wait for a peer as if there were others
	}
	for _, vm := range vms {
		if vm.Region == b.settings.Region && vm.Name != b.settings.Name {
			return true
		}
	}
	return false
}

func (b *Balancer) buildData() {
	b.sender = exception.NewSender(b.node, b.metrics, b.settings.ExceptionBytesPerSecond, b.started)
	b.keeper = &exception.Manager{Table: b.held, Sender: b.sender, Peers: b.node, Metrics: b.metrics}
	b.engine = forward.New(forward.Config{
		Flows: b.flows, Policy: b.policy, Received: b.held, Local: b.sender,
		Metrics: b.metrics, Log: b.log, Fabrics: b.settings.Fabrics,
		NewFlowRate: rate.Limit(b.settings.NewFlowsPerSecond),
		Eligible:    b.members.Standing,
	})
}

// connect makes changes of members and tables reach the packet path.
func (b *Balancer) connect() {
	b.membersChanged(b.members.View())
	b.members.OnChange(b.membersChanged)
	b.tables.OnChange(b.tablesChanged)
}

// tablesChanged puts a version in force for new flows at once, and leaves the
// established ones to reassessLoop.
func (b *Balancer) tablesChanged(_, current *tables.Snapshot) {
	b.engine.ApplyTables(current, time.Now())
	select {
	case b.reassess <- struct{}{}:
	default: // due already
	}
}

// reassessLoop looks at established flows after each change of the tables.
func (b *Balancer) reassessLoop(ctx context.Context) error {
	var last *tables.Snapshot
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.reassess:
			current := b.tables.Current()
			b.engine.Reassess(last, current, time.Now())
			last = current
		}
	}
}

func (b *Balancer) serverChanged(c selection.HealthChange) {
	fields := []zap.Field{zap.String("pool", c.Pool), zap.Uint32("server_id", uint32(c.Server))}
	switch c.Kind {
	case selection.Ejected:
		b.metrics.Count(metrics.Ejections, 1)
		b.log.Log(events.ServerEjected, append(fields, zap.Duration("for", c.Duration))...)
	case selection.EjectionRefused:
		b.log.Log(events.EjectionRefused, fields...)
	case selection.Reinstated:
		b.log.Log(events.ServerReinstated, fields...)
	}
}

// Run serves until ctx ends, Leave has finished, or a part fails.
func (b *Balancer) Run(ctx context.Context) error {
	ctx, b.stop = context.WithCancel(ctx)
	defer close(b.done)
	b.running.Store(true)
	b.log.Log(events.DaemonStarted, zap.Stringer("data", b.conns[0].LocalAddr()), zap.Stringer("control", b.members.View().Self.Control))
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(b.members.Run)
	p.Go(b.node.Run)
	p.Go(func(ctx context.Context) error { return b.tables.Run(ctx, b.node) })
	p.Go(b.sender.Run)
	p.Go(b.reassessLoop)
	p.Go(b.handOverLoop)
	p.Go(b.upkeepLoop)
	for _, c := range b.conns {
		p.Go(func(context.Context) error { return b.work(c) })
	}
	p.Go(func(ctx context.Context) error {
		<-ctx.Done()
		b.closeData()
		return nil
	})
	err := p.Wait()
	b.log.Log(events.DaemonStopped, zap.Error(err))
	return err
}

// maxHandOver bounds the wait for the hand-over of a leaving daemon: 300,000
// quiet flows take 6 minutes at the pace of 20 KB/s, but most flows move with
// their packets.
const maxHandOver = 6 * time.Minute

// Leave ends the daemon without cutting a flow: its slots go to the other
// members and its flows to the new owners, and it forwards for the leave period
// after that. It returns early if ctx ends.
func (b *Balancer) Leave(ctx context.Context) error {
	b.log.Log(events.DaemonLeaving)
	if err := b.node.AnnounceLeaving(ctx); err != nil {
		// Peers that did not hear it find out when the links end.
		b.log.Log(events.LinkLost, zap.String("step", "announce leaving"), zap.Error(err))
	}
	b.awaitHandOver(ctx)
	select {
	case <-time.After(b.leaving):
	case <-ctx.Done():
	}
	err := b.node.Leave(ctx)
	b.halt()
	return err
}

// awaitHandOver waits until the new owners know the flows of this daemon.
func (b *Balancer) awaitHandOver(ctx context.Context) {
	const interval = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, maxHandOver)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for b.unfinished.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Kill closes all sockets at once, as a crash would.
func (b *Balancer) Kill() {
	b.closeData()
	b.node.Kill()
	b.halt()
}

func (b *Balancer) halt() {
	b.stopOnce.Do(func() {
		if b.running.Load() {
			b.stop()
			<-b.done
		}
	})
}

// Metrics returns the daemon's counters.
func (b *Balancer) Metrics() *metrics.Registry { return b.metrics }

// DataAddress returns the address that the fabric sends packets to.
func (b *Balancer) DataAddress() netip.AddrPort { return b.conns[0].LocalAddr() }

// ControlAddress returns the address that peers connect to.
func (b *Balancer) ControlAddress() netip.AddrPort { return b.members.View().Self.Control }
