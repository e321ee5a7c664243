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
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/pause"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/internal/wait"
)

// Options configures an Exchange.
type Options struct {
	// VM and Zone are the names of this daemon's VM and availability zone.
	VM, Zone string
	// Address is the UDP and TCP address for peers. All daemons use the same port
	// number.
	Address  netip.AddrPort
	Table    *PeerTable
	Follower *registry.Follower
	Placer   *placement.Placer
	// Evidence is what the daemons know of the servers.
	Evidence *evidence.Pool
	// Pauses knows how long a report may have waited in the socket.
	Pauses  *pause.Monitor
	Metrics *metrics.Registry
	Log     *events.Logger
}

// Exchange sends and receives reports, and fetches directory items from peers and
// serves them.
type Exchange struct {
	options  Options
	start    uint64
	sequence atomic.Uint64
	leaving  atomic.Bool

	reports  *net.UDPConn
	listener net.Listener
	// loadChanged and newsDue request a report to the zone, fetchDue a fetch from peers.
	loadChanged chan struct{}
	newsDue     chan struct{}
	fetchDue    chan struct{}
	packer      *packer
	// largeResponses is a semaphore that limits how many large responses are sent at
	// a time, which leaves bandwidth for the callers' packets.
	largeResponses chan struct{}
	lastRefusalLog atomic.Int64 // time of the last logged refusal in Unix seconds
}

// New opens the sockets and returns an Exchange, which Run starts.
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
		loadChanged: make(chan struct{}, 1), newsDue: make(chan struct{}, 1), fetchDue: make(chan struct{}, 1),
		packer: newPacker(), largeResponses: make(chan struct{}, maxLargeResponses),
	}, nil
}

// Close closes the sockets of an Exchange on which Run was not called.
func (e *Exchange) Close() error { return errors.Join(e.reports.Close(), e.listener.Close()) }

// ReportLoad requests a report to the peers of the zone because the load has changed.
// It does not block.
func (e *Exchange) ReportLoad() { signal(e.loadChanged) }

// ReportNews requests a report to the peers of the zone because of a change that they
// have to learn of soon. It does not block.
func (e *Exchange) ReportNews() { signal(e.newsDue) }

// signal sends to a channel with a buffer of one unless a signal is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}

// Leave tells the peers that this daemon is about to stop.
func (e *Exchange) Leave() {
	e.leaving.Store(true)
	e.ReportNews()
}

// Run exchanges reports and items until ctx ends. It closes the sockets then.
func (e *Exchange) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { e.receiveReports(ctx) })
	tasks.Go(func() { e.reportToZone(ctx) })
	tasks.Go(func() { e.reportToOtherZones(ctx) })
	tasks.Go(func() { e.fetch(ctx) })
	tasks.Go(func() { e.serve(ctx) })
	<-ctx.Done()
	_ = e.reports.Close()  // ends receiveReports
	_ = e.listener.Close() // ends serve
	tasks.Wait()
}

// report returns an encoded report about this daemon to its own zone or to other zones.
func (e *Exchange) report(ownZone bool, now time.Time) ([]byte, error) {
	f := e.options.Follower
	confirmation, age := f.Freshness(now) // read before the position that it confirms
	return encodeReport(Report{
		VM: e.options.VM, Zone: e.options.Zone, Start: e.start, Sequence: e.sequence.Add(1),
		Position: f.Position(), Confirmation: confirmation, Age: min(maxAge, age), Watching: f.Watching(), Leaving: e.leaving.Load(), StoreFailing: f.StoreFailing(),
		Load: e.options.Placer.Load(now), Watchers: e.options.Table.Watchers(now),
		Zones: e.options.Table.HeardZones(now), Evidence: e.options.Evidence.Report(ownZone, now),
	})
}

// sendReport sends one report to each of the addresses, which are in the own zone or in
// other zones.
func (e *Exchange) sendReport(to []netip.Addr, ownZone bool) {
	if len(to) == 0 {
		return
	}
	b, err := e.report(ownZone, time.Now())
	if err != nil {
		e.options.Log.Log(events.DaemonFailed, zap.String("part", "report"), events.ErrorMessage(err))
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

// reportToZone sends reports to the peers of the zone: when one is requested, and
// otherwise at the heartbeat interval.
func (e *Exchange) reportToZone(ctx context.Context) {
	for ctx.Err() == nil {
		round := e.options.Table.NextZoneRound()
		e.sendReport(round.Peers, true)
		if !wait.For(ctx, round.MinInterval) {
			return
		}
		var loadChanged <-chan struct{} // never ready if it is not to be reported
		if round.OnLoad {
			loadChanged = e.loadChanged
		}
		timer := time.NewTimer(round.MaxInterval - round.MinInterval)
		select {
		case <-ctx.Done():
		case <-e.newsDue:
		case <-loadChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reportToOtherZones sends reports to the daemons of other zones, a batch at a time
// in turn.
func (e *Exchange) reportToOtherZones(ctx context.Context) {
	for wait.For(ctx, crossZoneInterval) {
		e.sendReport(e.options.Table.NextCrossZoneBatch(), false)
	}
}

// receiveReports reads reports until ctx ends.
func (e *Exchange) receiveReports(ctx context.Context) {
	buffer := make([]byte, maxReportSize+1)
	for ctx.Err() == nil {
		n, from, err := e.reports.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.options.Log.Log(events.DaemonFailed, zap.String("part", "reports"), events.ErrorMessage(err))
				wait.For(ctx, acceptRetryDelay)
			}
			continue
		}
		e.options.Metrics.Count(metrics.ControlBytesReceived, int64(n))
		e.handleReport(from.Addr().Unmap(), buffer[:n], time.Now())
	}
}

// handleReport applies a report to the peer table, the server load and the age of
// the directory. It requests a fetch if the peer is at a later position.
func (e *Exchange) handleReport(from netip.Addr, b []byte, now time.Time) {
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
	e.options.Evidence.Record(evidence.Peer{Addr: from, Zone: r.Zone}, r.Evidence, now.Add(-e.options.Pauses.MaxWait(now)))
	e.options.Follower.Confirm(r.Position, r.Confirmation, r.Age, now)
	if r.Position.IsAfter(e.options.Follower.Position()) {
		signal(e.fetchDue)
	}
}

// refusalLogInterval is the minimum time between log lines about refused peers.
const refusalLogInterval = time.Minute

// refuse counts a refused report or connection, and logs it at most once in
// refusalLogInterval.
func (e *Exchange) refuse(from netip.Addr, err error) {
	e.options.Metrics.Refused(metrics.PeerRefused)
	now, last := time.Now().Unix(), e.lastRefusalLog.Load()
	if now-last >= int64(refusalLogInterval.Seconds()) && e.lastRefusalLog.CompareAndSwap(last, now) {
		e.options.Log.Log(events.PeerRefused, zap.Stringer("peer", from), events.ErrorMessage(err))
	}
}

// Apply updates the peer table from a new directory and requests a report.
func (e *Exchange) Apply(d *directory.Directory) {
	e.options.Table.Apply(d, time.Now())
	e.ReportNews()
}
