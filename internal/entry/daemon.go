// Package entry builds and runs the entry daemon for carriers with cookies. The
// daemon forwards the packets of callers to backend servers and keeps its directory
// and its view of the other daemons up to date.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/admission"
	"knapweedshore.example/internal/cookie"
	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/exchange"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/pause"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/wait"
)

// Timing of the daemon.
const (
	// minDrainTime is the minimum time for which a stopping daemon goes on
	// forwarding. The fabric checks readiness twice a second and stops sending
	// after two failures.
	minDrainTime = time.Second
	// drainIdleTime is how long no packet must arrive for a drain to end. The
	// fabric keeps sending to a stopping daemon while too few daemons of the zone
	// are ready.
	drainIdleTime = 250 * time.Millisecond
	// maxDrainFraction is the maximum drain time as a fraction of the grace period.
	maxDrainFraction = 0.7
	// drainPollInterval is how often a drain checks whether packets still arrive.
	drainPollInterval = 50 * time.Millisecond
	// expireInterval is how often finished flows and old peer reports are deleted.
	expireInterval = 100 * time.Millisecond
	// directoryPollInterval is how often a starting daemon checks whether it has a
	// directory.
	directoryPollInterval = time.Millisecond
	// readRetryDelay is the pause after an error of the packet socket.
	readRetryDelay = 10 * time.Millisecond
	// readyTimeout bounds reading a readiness request and writing its response.
	readyTimeout = 2 * time.Second
)

// Options configures a Daemon.
type Options struct {
	Settings *settings.Entry
	Source   registry.Source
	Decoder  registry.Decoder
	Codec    cookie.Codec
	// ReadyPattern is the method and path of the readiness request.
	ReadyPattern string
	Metrics      *metrics.Registry
	Log          *events.Logger
}

// Daemon is an entry daemon.
type Daemon struct {
	options  Options
	follower *registry.Follower
	placer   *placement.Placer
	// admission is nil unless new flows are refused while pools have too little room.
	admission *admission.Controller
	engine    *cookie.Engine
	table     *exchange.PeerTable
	exchange  *exchange.Exchange
	evidence  *evidence.Pool
	// silences is nil unless flows of servers that are gone are reset.
	silences *evidence.Silences
	outcomes *evidence.OutcomeTally
	norms    *evidence.AnswerNorms
	pauses   *pause.Monitor
	leaving  atomic.Bool
	killed   chan struct{}
	killOnce sync.Once

	data  *net.UDPConn
	ready net.Listener
}

// New creates a daemon and opens its sockets. Call Run or Close next.
func New(o Options) (*Daemon, error) {
	watch := registry.WatchTimesFor(o.Settings.RecoveryTime, o.Settings.ReactionTime())
	d := &Daemon{
		options: o, killed: make(chan struct{}), pauses: pause.NewMonitor(time.Now(), staleAfter), placer: placement.New(o.Settings.Zone, rand.Uint64()),
		norms: evidence.NewAnswerNorms(),
	}
	d.outcomes = evidence.NewOutcomeTally(o.Settings.Zone, d.isServer)
	d.follower = registry.NewFollower(registry.Options{
		Source: o.Source, Decoder: o.Decoder, Log: o.Log, Metrics: o.Metrics, Watch: watch, Pauses: d.pauses,
		Keep:     directory.RetentionFor(o.Settings.DrainTime, o.Settings.FlowLifetime),
		Prefetch: func(ctx context.Context) bool { return d.exchange.Prefetch(ctx) },
	})
	if o.Settings.ResetGoneFlows {
		d.silences = d.newSilences()
	}
	if o.Settings.Admission {
		d.admission = admission.New(fleet{d}, rand.Uint64())
		d.follower.OnChange(func(dir *directory.Directory) { d.admission.Apply(dir.Config) })
	}
	d.engine = cookie.NewEngine(cookie.Options{
		Codec: o.Codec, Directories: d.follower, Placer: d.placer, Outcomes: d.outcomes, Norms: d.norms, Silences: d.silences, Admission: d.admission,
		FlowLifetime: o.Settings.FlowLifetime, Metrics: o.Metrics, Log: o.Log,
	})
	d.table = exchange.NewPeerTable(exchange.PeerTableOptions{
		Self: o.Settings.Peer.Addr(), Zone: o.Settings.Zone, Seeds: addrs(o.Settings.Seeds), MaxAge: watch.MaxAge(),
		OwnState: func(now time.Time) (directory.Position, time.Duration) {
			return d.follower.Position(), d.follower.Age(now)
		},
	})
	d.placer.SetPace(placement.PaceOptions{
		Self: o.Settings.Peer.Addr(), MaxDirectoryAge: watch.MaxAge(), DirectoryAge: d.follower.Age, OnChange: d.logPace,
	})
	d.evidence = d.newEvidence()
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.follower.OnChange(d.placer.Apply)
	d.follower.OnChange(d.norms.Prune)
	d.follower.OnChange(d.exchange.Apply)
	d.placer.OnChange(d.exchange.ReportLoad)
	d.placer.OnAvoidanceChange(d.logAvoidanceChange)
	if o.Settings.AvoidFailingServers {
		d.placer.SetOutcomes(d.outcomes)
		d.placer.OnOutlierChange(d.logOutlierChange)
	}
	d.placer.SetUnreachableFunc(d.table.ZoneSilent)
	return d, nil
}

// isServer reports whether the directory has a server.
func (d *Daemon) isServer(c directory.Cookie) bool {
	current := d.follower.Current()
	return current != nil && current.ByCookie(c) != nil
}

// listen opens the daemon's sockets.
func (d *Daemon) listen() error {
	o := d.options
	data, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Settings.Data))
	if err != nil {
		return errors.Wrapf(err, "listen for packets on %s", o.Settings.Data)
	}
	ready, err := net.Listen("tcp4", o.Settings.Ready.String())
	if err != nil {
		_ = data.Close() // the first error is the one to report
		return errors.Wrapf(err, "listen for readiness requests on %s", o.Settings.Ready)
	}
	peers, err := exchange.New(exchange.Options{
		VM: o.Settings.Name, Zone: o.Settings.Zone, Address: o.Settings.PeerListen, Table: d.table,
		Follower: d.follower, Placer: d.placer, Evidence: d.evidence, Pauses: d.pauses, Metrics: o.Metrics, Log: o.Log,
	})
	if err != nil {
		_ = data.Close()
		_ = ready.Close()
		return err
	}
	d.data, d.ready, d.exchange = data, ready, peers
	return nil
}

// Run serves until ctx ends or Kill is called. When ctx ends, the daemon becomes
// unready and forwards for up to maxDrainFraction of the grace period. Run returns
// when all sockets are closed.
func (d *Daemon) Run(ctx context.Context, reload ReloadOptions) {
	s := d.options.Settings
	d.options.Log.Log(events.DaemonStarted, zap.Stringer("data", s.Data), zap.String("zone", s.Zone), zap.Stringer("store", s.Store))
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { d.follower.Run(serving, d.table) })
	tasks.Go(func() { d.exchange.Run(serving) })
	tasks.Go(func() { d.newRegistration().Run(serving) })
	tasks.Go(func() { d.forward(serving) })
	tasks.Go(func() { d.expireLoop(serving) })
	tasks.Go(func() { d.probeLoop(serving) })
	tasks.Go(func() { d.reload(serving, reload) })
	server := &http.Server{Handler: d.readinessHandler(), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	tasks.Go(func() {
		if err := server.Serve(d.ready); !errors.Is(err, http.ErrServerClosed) {
			d.options.Log.Log(events.DaemonFailed, zap.String("part", "readiness"), events.ErrorMessage(err))
		}
	})
	select {
	case <-ctx.Done():
		d.leaving.Store(true)
		d.exchange.Leave()
		d.options.Log.Log(events.DaemonLeaving)
		d.drain(serving)
	case <-d.killed:
	}
	stop()
	_ = server.Close() // the process ends anyway
	_ = d.data.Close() // unblocks forward
	tasks.Wait()
	d.options.Log.Log(events.DaemonStopped)
}

// Close closes the sockets of a daemon that was never run.
func (d *Daemon) Close() error {
	return errors.Join(d.data.Close(), d.ready.Close(), d.exchange.Close())
}

// drain returns when the fabric has stopped sending, or when the time is up.
func (d *Daemon) drain(ctx context.Context) {
	start := time.Now()
	maxTime := time.Duration(maxDrainFraction * float64(d.options.Settings.GracePeriod))
	for time.Since(start) < maxTime && !d.wasKilled() &&
		(time.Since(start) < minDrainTime || d.engine.IdleTime(time.Now()) < drainIdleTime) {
		wait.For(ctx, drainPollInterval)
	}
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }

func (d *Daemon) wasKilled() bool {
	select {
	case <-d.killed:
		return true
	default:
		return false
	}
}

// newRegistration returns the task that keeps this daemon registered in the store.
func (d *Daemon) newRegistration() *registry.Registration {
	s := d.options.Settings
	return &registry.Registration{
		VM:     directory.VM{Name: s.Name, Zone: s.Zone, Addr: s.Peer.Addr()},
		Source: d.options.Source, Follower: d.follower, Log: d.options.Log, Metrics: d.options.Metrics,
	}
}

// readinessHandler answers the fabric's readiness requests. The daemon is ready when
// it has a directory and is not leaving.
func (d *Daemon) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(d.options.ReadyPattern, func(w http.ResponseWriter, _ *http.Request) {
		if d.leaving.Load() || d.follower.Current() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// forward reads and handles packets until the socket is closed. Packets that arrive
// before there is a directory wait in the socket, since a caller retransmits a
// dropped opening packet only after 200 ms.
func (d *Daemon) forward(ctx context.Context) {
	start := time.Now()
	for d.follower.Current() == nil {
		if !wait.For(ctx, directoryPollInterval) {
			return
		}
	}
	position := d.follower.Position()
	d.options.Log.Log(events.Ready, zap.Uint64("era", position.Era), zap.Uint64("revision", position.Revision))
	now := time.Now()
	queued := backlog{pauses: d.pauses, handledPause: d.pauses.Tick(now)}
	if took := now.Sub(start); took > staleAfter {
		d.options.Log.Log(events.BacklogDropped, zap.Duration("waited_for_directory", took))
		queued.start(now)
	}
	headroom := d.options.Codec.Headroom()
	buffer := make([]byte, headroom+d.options.Codec.MaxPacketSize()+1)
	deadline := time.Time{}
	for ctx.Err() == nil {
		if next := queued.deadline(now); next != deadline {
			deadline = next
			d.logSocketError(ctx, "set read deadline", d.data.SetReadDeadline(next))
		}
		n, _, err := d.data.ReadFromUDPAddrPort(buffer[headroom:])
		now = time.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			queued.markEmpty()
			continue
		}
		if err != nil {
			d.logSocketError(ctx, "read packet", err)
			continue
		}
		handle := d.engine.Handle
		late, paused := queued.read(now)
		if paused {
			d.options.Log.Log(events.BacklogDropped)
		}
		if late {
			handle = d.engine.HandleLate
		}
		d.send(handle(buffer[:headroom+n], now))
	}
}

// send sends the packets or the reset of a verdict, if there are any. A reset goes to the
// data port at the caller's address.
func (d *Daemon) send(v cookie.Verdict) {
	if !v.To.IsValid() {
		return
	}
	if v.Reset {
		v.To = withPort(v.To, d.options.Settings.Data.Port())
	}
	d.write(v.Bytes, v.To)
	for _, c := range v.Corrections {
		d.write(c.Bytes, c.To)
	}
}

func (d *Daemon) write(b []byte, to netip.AddrPort) {
	if _, err := d.data.WriteToUDPAddrPort(b, to); err != nil {
		d.options.Metrics.Refused(metrics.SendFailed)
	}
}

// logSocketError logs an error of the packet socket and waits before the next
// attempt. It does nothing if err is nil or the daemon is stopping.
func (d *Daemon) logSocketError(ctx context.Context, step string, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	d.options.Log.Log(events.DaemonFailed, zap.String("part", step), events.ErrorMessage(err))
	wait.For(ctx, readRetryDelay)
}

// expireLoop regularly deletes finished flows and old reports of peers. It also
// ticks the pause monitor, which would otherwise take a time without packets for a
// pause.
func (d *Daemon) expireLoop(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		now := time.Now()
		d.pauses.Tick(now)
		for _, reset := range d.engine.Expire(now) {
			d.send(reset)
		}
		d.placer.ExpirePeers(now)
		d.outcomes.Expire(now)
	}
}
