package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

// Limits of calls between daemons.
const (
	// dialTimeout and callTimeout notice a peer that is gone or a connection
	// that went silent well within behindGrace.
	dialTimeout = 150 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	// emptyDelay is how long a daemon without a directory waits for the store
	// before it asks peers, and then between two rounds.
	emptyDelay = 300 * time.Millisecond
	// prefetchDial and prefetchTimeout bound what a starting daemon waits for a
	// seed before it asks the store. When all machines come back together, each
	// millisecond without a directory costs opening packets.
	prefetchDial    = 10 * time.Millisecond
	prefetchTimeout = 50 * time.Millisecond
	// fetchRetry is the mean pause between two rounds, suppliersPerRound how many
	// peers are asked in one, and roundsPerNews how many rounds there are before
	// the next report is awaited: a peer that claims more than it has is not asked
	// for ever.
	fetchRetry        = 30 * time.Millisecond
	suppliersPerRound = 3
	roundsPerNews     = 20
	// largeResponse is the size in bytes from which on a response counts as large.
	// largeAtOnce of them are sent at a time, each for largePause: 100 KB in that
	// time is less than a tenth of a link of 10 Mbit/s for each.
	largeResponse = 8 << 10
	largeAtOnce   = 2
	largePause    = 50 * time.Millisecond
	// codeBusy is the drpc error code of a refused large response.
	codeBusy = 1
	// acceptRetry is the pause after a failed accept or read, which is most
	// likely a lack of file descriptors.
	acceptRetry = 100 * time.Millisecond
	// maxResponse bounds a response: the largest configuration and 5,000 servers.
	maxResponse = 8 << 20
	// idleConnection ends connections on which no call arrives.
	idleConnection = time.Minute
)

// fetch gets what is new from the peers.
func (e *Exchange) fetch(ctx context.Context) {
	connections := map[netip.Addr]*drpcconn.Conn{}
	defer func() {
		for _, c := range connections {
			_ = c.Close() // the daemon ends
		}
	}()
	for ctx.Err() == nil {
		timer := time.NewTimer(emptyDelay)
		select {
		case <-ctx.Done():
		case <-e.news:
		case <-timer.C:
		}
		timer.Stop()
		e.catchUp(ctx, connections)
	}
}

// catchUp asks the peers that have news until the directory is as new as theirs,
// for a number of rounds. Those that have got the news hand it on, so that large items
// spread from daemon to daemon instead of all coming from one.
func (e *Exchange) catchUp(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn) {
	for range roundsPerNews {
		suppliers := e.options.Table.FetchCandidates(time.Now())
		if len(suppliers) == 0 {
			return
		}
		for _, from := range suppliers[:min(suppliersPerRound, len(suppliers))] {
			if ctx.Err() != nil || e.fetchFrom(ctx, connections, from) {
				return
			}
		}
		if !wait.For(ctx, fetchRetry/2+rand.N(fetchRetry)) {
			return
		}
	}
}

// fetchFrom asks one peer. It reports whether that brought the directory up to
// date.
func (e *Exchange) fetchFrom(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn, from netip.Addr) bool {
	err := e.call(ctx, connections, from)
	if err == nil {
		return len(e.options.Table.FetchCandidates(time.Now())) == 0
	}
	if drpcerr.Code(err) == codeBusy {
		e.options.Metrics.Retried(metrics.PeerBusy)
		return false
	}
	if c := connections[from]; c != nil {
		_ = c.Close() // the connection has failed
		delete(connections, from)
	}
	if ctx.Err() == nil {
		e.options.Metrics.Retried(metrics.LinkBroken)
		e.options.Log.Log(events.FetchFailed, zap.Stringer("peer", from), events.Cause(err))
	}
	return false
}

func (e *Exchange) call(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn, from netip.Addr) error {
	conn := connections[from]
	if conn == nil {
		var err error
		if conn, err = e.connect(ctx, from, dialTimeout); err != nil {
			return err
		}
		connections[from] = conn
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := peerapi.NewDRPCDirectoryClient(conn).FetchItems(ctx, &peerapi.FetchItemsRequest{
		HaveRevision: e.options.Follower.Revision(),
	})
	if err != nil {
		return errors.Wrap(err, "fetch items")
	}
	return e.take(response, from)
}

func (e *Exchange) connect(ctx context.Context, to netip.Addr, timeout time.Duration) (*drpcconn.Conn, error) {
	// Peers know a daemon by its address.
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: e.options.Address.Addr().AsSlice()}}
	raw, err := dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(to, e.options.Address.Port()).String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxResponse}},
	}), nil
}

func (e *Exchange) take(response *peerapi.FetchItemsResponse, from netip.Addr) error {
	now := time.Now()
	reading, err := decodeReading(response, now)
	if err != nil {
		return err
	}
	e.options.Follower.Merge(reading, from.String())
	e.options.Follower.Confirm(response.Revision, now.Add(-milliseconds(response.ReadingAgeMs)))
	return nil
}

// Prefetch asks one seed for a complete directory when the daemon starts, which
// saves the calls of a listing. It reports whether the seed had a directory that
// is new enough. A seed that is down costs prefetchDial, one that is busy or not
// ready refuses at once.
func (e *Exchange) Prefetch(ctx context.Context) bool {
	seeds := e.options.Table.FetchCandidates(time.Now())
	if len(seeds) == 0 {
		return false
	}
	seed := seeds[rand.IntN(len(seeds))]
	conn, err := e.connect(ctx, seed, prefetchDial)
	if err != nil {
		e.options.Metrics.Retried(metrics.LinkDial)
		return false
	}
	defer func() { _ = conn.Close() }() // the answer has been read or given up
	ctx, cancel := context.WithTimeout(ctx, prefetchTimeout)
	defer cancel()
	response, err := peerapi.NewDRPCDirectoryClient(conn).FetchItems(ctx, &peerapi.FetchItemsRequest{})
	if err != nil {
		e.options.Metrics.Retried(metrics.LinkBroken)
		return false
	}
	if response.Revision == 0 || milliseconds(response.ReadingAgeMs) > e.options.Table.MaxAge() {
		return false
	}
	if err := e.take(response, seed); err != nil {
		e.options.Log.Log(events.FetchFailed, zap.Stringer("peer", seed), events.Cause(err))
		return false
	}
	return e.options.Follower.Current() != nil
}

// serve answers the peers until the listener is closed.
func (e *Exchange) serve(ctx context.Context) {
	mux := drpcmux.New()
	if err := peerapi.DRPCRegisterDirectory(mux, directoryServer{e}); err != nil {
		e.options.Log.Log(events.DaemonFailed, zap.String("part", "peer service"), events.Cause(err))
		return
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: idleConnection}})
	var connections conc.WaitGroup
	defer connections.Wait()
	for ctx.Err() == nil {
		conn, err := e.listener.Accept()
		if err != nil {
			wait.For(ctx, acceptRetry)
			continue
		}
		from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		if err != nil || !e.options.Table.Allowed(from.Addr().Unmap()) {
			e.refuse(from.Addr(), errors.New("address is not registered"))
			_ = conn.Close() // refused
			continue
		}
		connections.Go(func() {
			defer func() { _ = conn.Close() }() // its end was the caller's wish
			// The error only says how the connection ended; the caller retries.
			_ = server.ServeOne(ctx, conn)
		})
	}
}

// directoryServer answers the calls of peers.
type directoryServer struct{ exchange *Exchange }

// FetchItems implements peerapi.DRPCDirectoryServer.
func (s directoryServer) FetchItems(_ context.Context, r *peerapi.FetchItemsRequest) (*peerapi.FetchItemsResponse, error) {
	now := time.Now()
	e := s.exchange
	reading := e.options.Follower.ChangesSince(r.HaveRevision)
	response, err := encodeReading(reading, e.options.Follower.Age(now), now, e.packer)
	if err != nil {
		return nil, err
	}
	if proto.Size(response) <= largeResponse {
		return response, nil
	}
	select {
	case e.large <- struct{}{}:
	default:
		return nil, drpcerr.WithCode(errors.New("busy with other daemons"), codeBusy)
	}
	// The response is sent after the return; the place is kept for about as long
	// as that takes on a slow link.
	time.AfterFunc(largePause, func() { <-e.large })
	return response, nil
}
