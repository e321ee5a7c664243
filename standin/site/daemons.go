package site

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/balancer"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	standinstore "knapweedshore.example/standin/store"
)

const (
	// leavePeriod replaces the daemon's default of 30 s, so that the leave ends
	// within the run. It must be longer than fabricUpdateDelay.
	leavePeriod = 4 * time.Second
	// vmListDelay is the delay with which changes show in the platform's VM list.
	vmListDelay = time.Second

	maxFlows                = 100_000
	maxNewFlowsPerSecond    = 10_000
	exceptionBytesPerSecond = 2048
)

var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// DaemonPlatform is a Platform that runs knapweedshore's daemons in this process,
// with a simulated store.
type DaemonPlatform struct {
	region    string
	log       *zap.Logger
	store     *standinstore.Platform
	authority *peer.Authority
	workers   conc.WaitGroup
	policy    func() selection.Policy

	mu       sync.Mutex
	daemons  []*daemon
	firstErr error
}

// NewDaemonPlatform returns a platform for the region, without daemons yet.
func NewDaemonPlatform(region string, log *zap.Logger) (*DaemonPlatform, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, errors.Wrap(err, "create certificate authority")
	}
	return &DaemonPlatform{
		region: region, log: log, authority: authority,
		store: standinstore.New(standinstore.Options{VMLag: vmListDelay}),
	}, nil
}

// Store returns the simulated store, so that faults can be injected.
func (d *DaemonPlatform) Store() *standinstore.Platform { return d.store }

// Install implements Platform.
func (d *DaemonPlatform) Install(ctx context.Context, desired tables.Desired) error {
	return d.writeVersion(ctx, tables.Diff(tables.Empty(), desired))
}

// Drain implements Platform.
func (d *DaemonPlatform) Drain(ctx context.Context, pool, server string) error {
	current, _, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	snapshot, err := current.Replay(tables.Empty(), current.Version)
	if err != nil {
		return errors.Wrap(err, "read tables")
	}
	p, ok := snapshot.Pool(pool)
	if !ok {
		return errors.Errorf("drain server: no pool %q", pool)
	}
	for _, s := range p.Servers {
		if s.Name == server {
			s.State = tables.Draining
			return d.writeVersion(ctx, []tables.Operation{tables.PutServer{Pool: pool, Server: s}})
		}
	}
	return errors.Errorf("drain server: no server %q in pool %q", server, pool)
}

// readHead returns the head of the tables and its store revision, or an empty head
// and 0 before the first version.
func (d *DaemonPlatform) readHead(ctx context.Context) (*tables.Head, uint64, error) {
	value, err := d.store.Memory().Get(ctx, tables.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return &tables.Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read head")
	}
	head, err := tables.DecodeHead(value.Data)
	if err != nil {
		return nil, 0, errors.Wrap(err, "decode head")
	}
	return head, value.Revision, nil
}

// writeVersion writes the operations as a new version of the tables. It does not
// retry after conflicts, because nothing else writes to the store during a run.
func (d *DaemonPlatform) writeVersion(ctx context.Context, ops []tables.Operation) error {
	head, revision, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	next, err := head.Append(tables.Delta{
		Version: head.Version + 1, WriteID: tables.NewWriteID(), Author: "site", Time: time.Now(), Operations: ops,
	})
	if err != nil {
		return errors.Wrap(err, "append change")
	}
	if _, err := d.store.Memory().Swap(ctx, tables.HeadKey, next.Encode(), revision); err != nil {
		return errors.Wrap(err, "write head")
	}
	return nil
}

// daemon is a balancer that runs in this process.
type daemon struct {
	*balancer.Balancer
	name  string
	store *standinstore.Platform
}

// StartBalancer implements Platform.
func (d *DaemonPlatform) StartBalancer(_ context.Context, vm VM, fabric netip.AddrPort) (Balancer, error) {
	credentials, err := d.authority.Issue(member.Name(vm.Name), d.region)
	if err != nil {
		return nil, errors.Wrapf(err, "issue credentials for %q", vm.Name)
	}
	options := balancer.Options{
		Settings: d.settings(vm, fabric), Store: d.store.Memory(), Logger: d.log,
		Credentials: credentials, LeavePeriod: leavePeriod,
	}
	if d.policy != nil {
		options.Policy = d.policy()
	}
	b, err := balancer.New(options)
	if err != nil {
		return nil, errors.Wrapf(err, "create balancer %q", vm.Name)
	}
	started := &daemon{Balancer: b, name: vm.Name, store: d.store}
	d.workers.Go(func() { d.run(started) })
	d.mu.Lock()
	d.daemons = append(d.daemons, started)
	d.mu.Unlock()
	d.store.AddVM(store.VM{
		Name: vm.Name, Region: d.region, Zone: vm.Zone, Capacity: vm.Capacity,
		Control: b.ControlAddress(), Data: b.DataAddress(),
	})
	return started, nil
}

func (d *DaemonPlatform) run(b *daemon) {
	if err := b.Run(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.firstErr == nil {
			d.firstErr = errors.Wrapf(err, "balancer %q", b.name)
		}
	}
}

func (d *DaemonPlatform) settings(vm VM, fabric netip.AddrPort) *settings.Settings {
	s := &settings.Settings{
		Name: vm.Name, Region: d.region, Zone: vm.Zone, Capacity: vm.Capacity,
		Data: anyLoopbackPort, Control: anyLoopbackPort, Fabrics: []netip.AddrPort{fabric}, Workers: 1,
		MaxFlows: maxFlows, NewFlowsPerSecond: maxNewFlowsPerSecond, ExceptionBytesPerSecond: exceptionBytesPerSecond,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.daemons {
		s.Seeds = append(s.Seeds, b.ControlAddress())
	}
	return s
}

// Leave implements Balancer.
func (b *daemon) Leave(ctx context.Context) error {
	err := b.Balancer.Leave(ctx)
	b.store.RemoveVM(b.name)
	if err != nil {
		return errors.Wrapf(err, "balancer %q: leave", b.name)
	}
	return nil
}

// Kill implements Balancer. The VM disappears from the platform's list as well.
func (b *daemon) Kill() {
	b.Balancer.Kill()
	b.store.RemoveVM(b.name)
}

// Close implements Platform.
func (d *DaemonPlatform) Close() {
	d.mu.Lock()
	daemons := d.daemons
	d.mu.Unlock()
	var kills conc.WaitGroup
	for _, b := range daemons {
		kills.Go(b.Kill)
	}
	kills.Wait()
	d.workers.Wait()
}

// Err returns the first error with which a daemon ended unexpectedly.
func (d *DaemonPlatform) Err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstErr
}
