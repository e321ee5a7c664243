// Package balancer assembles and runs one load balancer daemon.
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

// DefaultLeavePeriod is how long a leaving daemon forwards packets after its
// handover. New owners send it packets of unknown flows during this time.
const DefaultLeavePeriod = forward.PredecessorPeriod

// Options configures a Balancer.
type Options struct {
	Settings *settings.Settings
	Store    store.Store
	Logger   *zap.Logger
	// Credentials replaces the key files named in the settings.
	Credentials *peer.Credentials
	// Metrics receives the daemon's counters; nil means a new registry.
	Metrics *metrics.Registry
	// LeavePeriod replaces DefaultLeavePeriod if it is not zero.
	LeavePeriod time.Duration
	// Policy chooses the servers of new flows; nil means a selection.Chooser.
	// Benchmarks compare other policies with it.
	Policy selection.Policy
}

// Balancer is one load balancer daemon.
type Balancer struct {
	settings    *settings.Settings
	log         *events.Logger
	metrics     *metrics.Registry
	started     time.Time
	leavePeriod time.Duration

	members    *member.Table
	node       *peer.Node
	tables     *tablesync.Syncer
	policy     selection.Policy
	flows      *flow.Table
	received   *exception.Table  // exceptions from other daemons
	sender     *exception.Sender // exceptions of this daemon
	exceptions *exception.Manager
	engine     *forward.Engine
	tracker    *forward.Tracker
	conns      []carrier.Conn

	// handoverDue wakes handoverLoop after a change of the members.
	handoverDue chan struct{}
	// pendingHandovers counts the handovers that are due or running.
	pendingHandovers atomic.Int32
	// reassessDue wakes reassessLoop after a change of the tables.
	reassessDue chan struct{}
	stop        context.CancelFunc
	stopOnce    sync.Once
	running     atomic.Bool
	done        chan struct{}
}

// New opens the daemon's sockets and creates its components. The caller must
// call Run or Kill.
func New(o Options) (*Balancer, error) {
	b := newBalancer(o)
	credentials, err := loadCredentials(o)
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
		settings:    o.Settings,
		log:         events.New(o.Logger).With(zap.String("vm", o.Settings.Name)),
		metrics:     o.Metrics,
		started:     time.Now(),
		leavePeriod: o.LeavePeriod,
		policy:      o.Policy,
		flows:       flow.NewTable(o.Settings.MaxFlows),
		received:    exception.NewTable(exception.MaxEntries),
		tracker:     forward.NewTracker(),
		handoverDue: make(chan struct{}, 1),
		reassessDue: make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
	if b.metrics == nil {
		b.metrics = metrics.NewRegistry()
	}
	if b.leavePeriod == 0 {
		b.leavePeriod = DefaultLeavePeriod
	}
	if b.policy == nil {
		b.policy = selection.NewChooser(b.started, b.serverChanged)
	}
	return b
}

func loadCredentials(o Options) (*peer.Credentials, error) {
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
		_ = c.Close() // the daemon is shutting down anyway
	}
}

// build creates the components in the order of their dependencies.
func (b *Balancer) build(o Options, credentials *peer.Credentials) error {
	listener, err := net.Listen("tcp", b.settings.Control.String())
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", b.settings.Control)
	}
	if err := b.buildControl(o, credentials, listener); err != nil {
		_ = listener.Close() // report the first error
		return err
	}
	b.buildData()
	b.subscribe()
	return nil
}

func (b *Balancer) buildControl(o Options, credentials *peer.Credentials, listener net.Listener) (err error) {
	b.members, err = member.New(member.Config{
		Self:        b.selfRecord(listener),
		ExpectPeers: b.expectPeers(o.Store),
		Events:      b.log,
		Metrics:     b.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "create own member record")
	}
	b.tables, err = tablesync.New(tablesync.Config{
		Members: b.members, Store: o.Store, Events: b.log, Metrics: b.metrics,
	})
	if err != nil {
		return err
	}
	b.node, err = peer.New(peer.Config{
		Table: b.members, Tables: b.tables, Handler: b, Credentials: credentials,
		Listener: listener, Seeds: b.settings.Seeds, VMLister: o.Store,
		Events: b.log, Metrics: b.metrics,
	})
	return err
}

// selfRecord returns the member record of this VM, as other daemons see it.
func (b *Balancer) selfRecord(listener net.Listener) member.Member {
	return member.Member{
		Name:     member.Name(b.settings.Name),
		Region:   b.settings.Region,
		Zone:     b.settings.Zone,
		Control:  netip.MustParseAddrPort(listener.Addr().String()),
		Data:     b.conns[0].LocalAddr(),
		Capacity: b.settings.Capacity,
	}
}

// vmListTimeout limits the call for the platform's list of VMs at startup, so that
// a store outage does not delay it.
const vmListTimeout = 2 * time.Second

// expectPeers reports whether seeds are configured or the platform lists other VMs
// of the region.
func (b *Balancer) expectPeers(s store.Store) bool {
	if len(b.settings.Seeds) > 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
	defer cancel()
	vms, err := s.VMs(ctx)
	if err != nil {
		return true // unknown, so wait for a peer
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
	b.exceptions = &exception.Manager{Table: b.received, Sender: b.sender, Peers: b.node, Metrics: b.metrics}
	b.engine = forward.New(forward.Config{
		Flows: b.flows, Policy: b.policy, Received: b.received, Local: b.sender,
		Metrics: b.metrics, Log: b.log, Fabrics: b.settings.Fabrics,
		NewFlowRate: rate.Limit(b.settings.NewFlowsPerSecond),
		Eligible:    b.members.Eligible,
	})
}

// subscribe passes changes of the members and the tables to the packet path.
func (b *Balancer) subscribe() {
	b.membersChanged(b.members.View())
	b.members.OnChange(b.membersChanged)
	b.tables.OnChange(b.tablesChanged)
}

// tablesChanged applies a version of the tables to new flows at once, and leaves
// established flows to reassessLoop.
func (b *Balancer) tablesChanged(_, current *tables.Snapshot) {
	b.engine.ApplyTables(current, time.Now())
	select {
	case b.reassessDue <- struct{}{}:
	default: // already due
	}
}

// reassessLoop checks established flows against the tables after each change.
func (b *Balancer) reassessLoop(ctx context.Context) error {
	var last *tables.Snapshot
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.reassessDue:
			current := b.tables.Current()
			b.engine.Reassess(last, current, time.Now())
			last = current
		}
	}
}

// serverChanged logs and counts a change of a server's health.
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

// Run serves until ctx ends, Leave has finished, or a component fails.
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
	p.Go(b.handoverLoop)
	p.Go(b.upkeepLoop)
	for _, c := range b.conns {
		p.Go(func(context.Context) error { return b.forwardLoop(c) })
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

// maxHandoverWait limits how long a leaving daemon waits for its handover. 300,000
// idle flows take 6 minutes at a rate of 20 KB/s; flows with traffic move earlier,
// with their packets.
const maxHandoverWait = 6 * time.Minute

// Leave stops the daemon without breaking a flow: it hands its slots to the other
// members and its flows to the new owners, and then forwards packets for the leave
// period. It returns early if ctx ends.
func (b *Balancer) Leave(ctx context.Context) error {
	b.log.Log(events.DaemonLeaving)
	if err := b.node.AnnounceLeaving(ctx); err != nil {
		// Peers without the announcement notice the closed links later.
		b.log.Log(events.LinkLost, zap.String("step", "announce leaving"), zap.Error(err))
	}
	b.awaitHandover(ctx)
	select {
	case <-time.After(b.leavePeriod):
	case <-ctx.Done():
	}
	err := b.node.Leave(ctx)
	b.halt()
	return err
}

// awaitHandover waits until the new owners have received the flows of this daemon.
func (b *Balancer) awaitHandover(ctx context.Context) {
	const interval = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, maxHandoverWait)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for b.pendingHandovers.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Kill closes all sockets immediately, as a crash would, and stops the daemon.
func (b *Balancer) Kill() {
	b.closeData()
	b.node.Kill()
	b.halt()
}

// halt stops Run and waits until it has returned.
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

// DataAddress returns the address to which the fabric sends packets.
func (b *Balancer) DataAddress() netip.AddrPort { return b.conns[0].LocalAddr() }

// ControlAddress returns the address to which peers connect.
func (b *Balancer) ControlAddress() netip.AddrPort { return b.members.View().Self.Control }
