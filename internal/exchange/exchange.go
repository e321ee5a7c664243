package exchange

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/internal/wait"
)

// Options are what an Exchange is built from.
type Options struct {
	VM, Zone string
	// Address is the UDP and TCP address for the peers, which use the same port.
	Address  netip.AddrPort
	Table    *PeerTable
	Follower *registry.Follower
	Placer   *placement.Placer
	Metrics  *metrics.Registry
	Log      *events.Logger
}

// Exchange sends and receives reports and items.
type Exchange struct {
	options  Options
	start    uint64
	sequence atomic.Uint64
	leaving  atomic.Bool

	reports  *net.UDPConn
	listener net.Listener
	// changed asks for a report, news for a fetch.
	changed chan struct{}
	news    chan struct{}
	packer  *packer
	// large holds a place for each large response that is being sent. A limit
	// leaves the link to the callers' packets.
	large   chan struct{}
	refused atomic.Int64 // Unix seconds of the last logged refusal
}

// New opens the sockets. Call Run next.
func New(o Options) (*Exchange, error) {
	reports, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for reports on %s", o.Address)
	}
	listener, err := net.Listen("tcp4", o.Address.String())
	if err != nil {
		_ = reports.Close() // the first error is the one to report
		return nil, errors.Wrapf(err, "listen for peers on %s", o.Address)
	}
	return &Exchange{
		options: o, start: uint64(time.Now().UnixNano()), reports: reports, listener: listener,
		changed: make(chan struct{}, 1), news: make(chan struct{}, 1),
		packer: newPacker(), large: make(chan struct{}, largeAtOnce),
	}, nil
}

// Close closes the sockets of an exchange that is not run.
func (e *Exchange) Close() error { return errors.Join(e.reports.Close(), e.listener.Close()) }

// RequestReport asks for a report to the zone soon.
func (e *Exchange) RequestReport() { signal(e.changed) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // one signal is waiting already
	}
}

// Leave tells the peers that this daemon is about to end.
func (e *Exchange) Leave() {
	e.leaving.Store(true)
	e.RequestReport()
}

// Run serves until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { e.receive(ctx) })
	tasks.Go(func() { e.reportToZone(ctx) })
	tasks.Go(func() { e.reportToOthers(ctx) })
	tasks.Go(func() { e.fetch(ctx) })
	tasks.Go(func() { e.serve(ctx) })
	<-ctx.Done()
	_ = e.reports.Close()  // ends receive
	_ = e.listener.Close() // ends serve
	tasks.Wait()
}

func (e *Exchange) report(now time.Time) ([]byte, error) {
	f := e.options.Follower
	return encodeReport(Report{
		VM: e.options.VM, Zone: e.options.Zone, Start: e.start, Sequence: e.sequence.Add(1),
		Revision: f.Revision(), Age: min(maxAge, f.Age(now)), Watching: f.Watching(), Leaving: e.leaving.Load(),
		Load: e.options.Placer.Load(now),
	})
}

func (e *Exchange) send(to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	b, err := e.report(time.Now())
	if err != nil {
		e.options.Log.Log(events.DaemonFailed, zap.String("part", "report"), events.Cause(err))
		return
	}
	for _, addr := range to {
		if _, err := e.reports.WriteToUDPAddrPort(b, netip.AddrPortFrom(addr, e.options.Address.Port())); err != nil {
			e.options.Metrics.Refused(metrics.SendFailed)
			continue
		}
		e.options.Metrics.Count(metrics.ControlBytesSent, int64(len(b)))
	}
}

// reportToZone sends a report when something has changed, and a heartbeat.
func (e *Exchange) reportToZone(ctx context.Context) {
	for ctx.Err() == nil {
		peers, least, most := e.options.Table.ZonePeers()
		e.send(peers)
		if !wait.For(ctx, least) {
			return
		}
		timer := time.NewTimer(most - least)
		select {
		case <-ctx.Done():
		case <-e.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reportToOthers sends reports to the daemons of other zones in turn.
func (e *Exchange) reportToOthers(ctx context.Context) {
	next := 0
	for wait.For(ctx, crossZoneInterval) {
		peers := e.options.Table.OtherZonePeers()
		batch := make([]netip.Addr, 0, crossZoneBatch)
		for range min(crossZoneBatch, len(peers)) {
			batch = append(batch, peers[next%len(peers)])
			next++
		}
		e.send(batch)
	}
}

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxReport+1)
	for ctx.Err() == nil {
		n, from, err := e.reports.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.options.Log.Log(events.DaemonFailed, zap.String("part", "reports"), events.Cause(err))
				wait.For(ctx, acceptRetry)
			}
			continue
		}
		e.options.Metrics.Count(metrics.ControlBytesReceive, int64(n))
		e.handle(from.Addr().Unmap(), buffer[:n], time.Now())
	}
}

func (e *Exchange) handle(from netip.Addr, b []byte, now time.Time) {
	if !e.options.Table.Allowed(from) {
		e.refuse(from, errors.New("address is not registered"))
		return
	}
	r, err := decodeReport(b)
	if err != nil {
		e.refuse(from, err)
		return
	}
	if !e.options.Table.RecordReport(from, r, now) {
		return
	}
	e.options.Placer.SetPeerLoad(from.String(), r.Load, now)
	e.options.Follower.Confirm(r.Revision, now.Add(-r.Age))
	if r.Revision > e.options.Follower.Revision() {
		signal(e.news)
	}
}

// refusalInterval bounds the log lines about refused peers.
const refusalInterval = time.Minute

func (e *Exchange) refuse(from netip.Addr, err error) {
	e.options.Metrics.Refused(metrics.PeerRefused)
	now, last := time.Now().Unix(), e.refused.Load()
	if now-last >= int64(refusalInterval.Seconds()) && e.refused.CompareAndSwap(last, now) {
		e.options.Log.Log(events.PeerRefused, zap.Stringer("peer", from), events.Cause(err))
	}
}

// Apply takes over the registered daemons of a new directory.
func (e *Exchange) Apply(d *directory.Directory) {
	e.options.Table.Apply(d, time.Now())
	e.RequestReport()
}
