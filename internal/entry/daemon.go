// Package entry builds and runs the daemon behind a carrier with cookies: it
// forwards the packets of callers and keeps its directory and its view of the
// other daemons up to date.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/cookie"
	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/exchange"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/wait"
)

// Times of the daemon.
const (
	// drainLeast is how long a daemon that was asked to end goes on forwarding:
	// the fabric asks twice a second and stops sending after two misses.
	drainLeast = time.Second
	// drainQuiet without a packet shows that the fabric has stopped sending. It
	// goes on when too few daemons of the zone are ready.
	drainQuiet = 250 * time.Millisecond
	// drainShare is the longest drain as a part of the grace period.
	drainShare = 0.7
	// drainPoll is how often a draining daemon looks for packets.
	drainPoll = 50 * time.Millisecond
	// expireInterval is how often finished flows are forgotten.
	expireInterval = 100 * time.Millisecond
	// directoryPoll is how often a starting daemon looks for its directory.
	directoryPoll = time.Millisecond
	// readRetry is the pause after a failed read of the packet socket.
	readRetry = 10 * time.Millisecond
	// readyTimeout bounds a readiness request.
	readyTimeout = 2 * time.Second
)

// Options are what a Daemon is built from.
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

// Daemon is one running entry daemon.
type Daemon struct {
	options  Options
	follower *registry.Follower
	placer   *placement.Placer
	engine   *cookie.Engine
	table    *exchange.PeerTable
	exchange *exchange.Exchange
	pauses   *pauses
	leaving  atomic.Bool
	killed   chan struct{}
	kill     sync.Once

	data  *net.UDPConn
	ready net.Listener
}

// New opens the daemon's sockets. Call Run next.
func New(o Options) (*Daemon, error) {
	watch := registry.WatchTimesFor(o.Settings.RecoveryTime, o.Settings.ReactionTime())
	d := &Daemon{options: o, killed: make(chan struct{}), pauses: newPauses(time.Now()), placer: placement.New(o.Settings.Zone, rand.Uint64())}
	d.follower = registry.NewFollower(registry.Options{
		Source: o.Source, Decoder: o.Decoder, Log: o.Log, Metrics: o.Metrics, Watch: watch,
		Keep:     directory.RetentionFor(o.Settings.DrainTime, o.Settings.FlowLifetime),
		Prefetch: func(ctx context.Context) bool { return d.exchange.Prefetch(ctx) },
	})
	d.engine = cookie.NewEngine(o.Codec, d.follower, d.placer, o.Metrics, o.Log)
	d.table = exchange.NewPeerTable(exchange.PeerTableOptions{
		Self: o.Settings.Peer.Addr(), Zone: o.Settings.Zone, Seeds: addrs(o.Settings.Seeds), MaxAge: watch.MaxAge(),
		OwnState: func(now time.Time) (uint64, time.Duration) { return d.follower.Revision(), d.follower.Age(now) },
	})
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.follower.OnChange(d.placer.Prune)
	d.follower.OnChange(d.exchange.Apply)
	d.placer.OnChange(d.exchange.RequestReport)
	d.placer.OnAvoidanceChange(d.logBelief)
	d.placer.SetUnreachableFunc(d.table.ZoneSilent)
	return d, nil
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
		Follower: d.follower, Placer: d.placer, Metrics: o.Metrics, Log: o.Log,
	})
	if err != nil {
		_ = data.Close()
		_ = ready.Close()
		return err
	}
	d.data, d.ready, d.exchange = data, ready, peers
	return nil
}

// Run serves until ctx ends and then forwards for part of the grace period. It
// returns when all sockets are closed.
func (d *Daemon) Run(ctx context.Context, reload ReloadOptions) {
	s := d.options.Settings
	d.options.Log.Log(events.DaemonStarted, zap.Stringer("data", s.Data), zap.String("zone", s.Zone), zap.Stringer("store", s.Store))
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { d.follower.Run(serving, d.table) })
	tasks.Go(func() { d.exchange.Run(serving) })
	tasks.Go(func() { d.registration().Run(serving) })
	tasks.Go(func() { d.forward(serving) })
	tasks.Go(func() { d.upkeep(serving) })
	tasks.Go(func() { d.reload(serving, reload) })
	server := &http.Server{Handler: d.readiness(), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
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
	_ = d.data.Close() // ends the forwarding
	tasks.Wait()
	d.options.Log.Log(events.DaemonStopped)
}

// Close closes the sockets of a daemon that is not run.
func (d *Daemon) Close() error {
	return errors.Join(d.data.Close(), d.ready.Close(), d.exchange.Close())
}

// drain forwards until the fabric has stopped sending.
func (d *Daemon) drain(ctx context.Context) {
	began := time.Now()
	longest := time.Duration(drainShare * float64(d.options.Settings.GracePeriod))
	for time.Since(began) < longest && !d.wasKilled() &&
		(time.Since(began) < drainLeast || d.engine.IdleTime(time.Now()) < drainQuiet) {
		wait.For(ctx, drainPoll)
	}
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() { d.kill.Do(func() { close(d.killed) }) }

func (d *Daemon) wasKilled() bool {
	select {
	case <-d.killed:
		return true
	default:
		return false
	}
}

func (d *Daemon) registration() *registry.Registration {
	s := d.options.Settings
	return &registry.Registration{
		VM:     directory.VM{Name: s.Name, Zone: s.Zone, Addr: s.Peer.Addr()},
		Source: d.options.Source, Follower: d.follower, Log: d.options.Log, Metrics: d.options.Metrics,
	}
}

// readiness answers the fabric: the daemon takes packets when it has a
// directory and is not leaving.
func (d *Daemon) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(d.options.ReadyPattern, func(w http.ResponseWriter, _ *http.Request) {
		if d.leaving.Load() || d.follower.Current() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// forward handles packets until the socket is closed. Until there is a
// directory they wait in the socket, since a dropped opening packet costs its
// caller 200 ms.
func (d *Daemon) forward(ctx context.Context) {
	began := time.Now()
	for d.follower.Current() == nil {
		if !wait.For(ctx, directoryPoll) {
			return
		}
	}
	d.options.Log.Log(events.Ready, zap.Uint64("revision", d.follower.Revision()))
	now := time.Now()
	waiting := backlog{pauses: d.pauses, seen: d.pauses.tick(now)}
	if took := now.Sub(began); took > staleAfter {
		d.options.Log.Log(events.BacklogDropped, zap.Duration("waited_for_directory", took))
		waiting.begin(now)
	}
	headroom := d.options.Codec.Headroom()
	buffer := make([]byte, headroom+d.options.Codec.MaxPacketSize()+1)
	deadline := time.Time{}
	for ctx.Err() == nil {
		if next := waiting.deadline(now); next != deadline {
			deadline = next
			d.failed(ctx, "set read deadline", d.data.SetReadDeadline(next))
		}
		n, _, err := d.data.ReadFromUDPAddrPort(buffer[headroom:])
		now = time.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			waiting.empty()
			continue
		}
		if err != nil {
			d.failed(ctx, "read packet", err)
			continue
		}
		handle := d.engine.Handle
		late, paused := waiting.read(now)
		if paused {
			d.options.Log.Log(events.BacklogDropped)
		}
		if late {
			handle = d.engine.HandleLate
		}
		d.send(handle(buffer[:headroom+n], now))
	}
}

// send carries a verdict out.
func (d *Daemon) send(v cookie.Verdict) {
	if !v.To.IsValid() {
		return
	}
	if v.Reset {
		v.To = withPort(v.To, d.options.Settings.Data.Port())
	}
	if _, err := d.data.WriteToUDPAddrPort(v.Bytes, v.To); err != nil {
		d.options.Metrics.Refused(metrics.SendFailed)
	}
}

// failed reports an error of the packet socket, unless the daemon is ending.
func (d *Daemon) failed(ctx context.Context, step string, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	d.options.Log.Log(events.DaemonFailed, zap.String("part", step), events.ErrorMessage(err))
	wait.For(ctx, readRetry)
}

// upkeep forgets what has ended.
func (d *Daemon) upkeep(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		now := time.Now()
		d.pauses.tick(now)
		d.engine.Expire(now)
		d.placer.ExpirePeers(now)
	}
}
