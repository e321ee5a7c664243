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
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

// Limits of calls between daemons.
const (
	// dialTimeout and callTimeout are short enough to try another peer within
	// catchUpGrace if a peer is gone or a connection is dead.
	dialTimeout = 150 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	// fetchInterval is the longest time between two fetches. A daemon without a
	// directory waits that long for the store before it asks peers.
	fetchInterval = 300 * time.Millisecond
	// prefetchDialTimeout and prefetchTimeout limit how long a starting daemon waits
	// for a seed before it asks the store. When all machines restart together, opening
	// packets are dropped until the daemons have a directory.
	prefetchDialTimeout = 10 * time.Millisecond
	prefetchTimeout     = 50 * time.Millisecond
	// roundPause is the mean pause between two rounds of a fetch, and peersPerRound
	// the number of peers asked in a round. maxRounds limits the rounds of one fetch,
	// so that a peer which reports a position it does not have is not asked forever.
	roundPause    = 30 * time.Millisecond
	peersPerRound = 3
	maxRounds     = 20
	// largeResponseSize is the size in bytes above which a response counts as large.
	// At most maxLargeResponses of them are sent at a time. Sending one is assumed to
	// take largeSendTime, so that responses of 100 KB use at most 16 Mbit/s each.
	largeResponseSize = 8 << 10
	maxLargeResponses = 2
	largeSendTime     = 50 * time.Millisecond
	// expectedPackRatio is by how much a large value shrinks at least.
	expectedPackRatio = 8
	// codeBusy is the drpc error code for refusing a large response.
	codeBusy = 1
	// acceptRetryDelay is the pause after a failed accept or read, most likely because
	// the process has no file descriptors left.
	acceptRetryDelay = 100 * time.Millisecond
	// maxResponseSize is the maximum size of a response in bytes. It has room for the
	// largest configuration and 5,000 servers.
	maxResponseSize = 8 << 20
	// idleTimeout is the time without calls after which a connection is closed.
	idleTimeout = time.Minute
)

// fetch fetches new items from peers until ctx ends.
func (e *Exchange) fetch(ctx context.Context) {
	connections := map[netip.Addr]*drpcconn.Conn{}
	defer func() {
		for _, c := range connections {
			_ = c.Close() // the daemon is stopping
		}
	}()
	for ctx.Err() == nil {
		timer := time.NewTimer(fetchInterval)
		select {
		case <-ctx.Done():
		case <-e.fetchDue:
		case <-timer.C:
		}
		timer.Stop()
		e.catchUp(ctx, connections)
	}
}

// catchUp asks peers that are at a later position until the directory is as new as
// theirs, for at most maxRounds rounds. Peers that have caught up become candidates
// too, so that large items spread from daemon to daemon instead of all coming from
// one.
func (e *Exchange) catchUp(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn) {
	for range maxRounds {
		candidates := e.options.Table.FetchCandidates(time.Now())
		if len(candidates) == 0 {
			return
		}
		for _, from := range candidates[:min(peersPerRound, len(candidates))] {
			if ctx.Err() != nil || e.fetchFrom(ctx, connections, from) {
				return
			}
		}
		if !wait.For(ctx, roundPause/2+rand.N(roundPause)) {
			return
		}
	}
}

// fetchFrom fetches items from one peer. It reports whether the directory is up to
// date afterwards.
func (e *Exchange) fetchFrom(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn, from netip.Addr) bool {
	err := e.fetchItems(ctx, connections, from)
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
		e.options.Log.Log(events.FetchFailed, zap.Stringer("peer", from), events.ErrorMessage(err))
	}
	return false
}

// fetchItems fetches and applies the items that a peer has and this daemon lacks.
func (e *Exchange) fetchItems(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn, from netip.Addr) error {
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
	have := e.options.Follower.Position()
	response, err := peerapi.NewDRPCDirectoryClient(conn).FetchItems(ctx, &peerapi.FetchItemsRequest{
		HaveEra: have.Era, HaveRevision: have.Revision, AcceptPacked: true,
	})
	if err != nil {
		return errors.Wrap(err, "fetch items")
	}
	return e.applyResponse(response, from)
}

// connect opens a connection to a peer.
func (e *Exchange) connect(ctx context.Context, to netip.Addr, timeout time.Duration) (*drpcconn.Conn, error) {
	// Peers accept connections only from the registered address of a daemon.
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: e.options.Address.Addr().AsSlice()}}
	raw, err := dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(to, e.options.Address.Port()).String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxResponseSize}},
	}), nil
}

// applyResponse merges the items of a response and confirms its position.
func (e *Exchange) applyResponse(response *peerapi.FetchItemsResponse, from netip.Addr) error {
	now := time.Now()
	reading, err := decodeReading(response, now)
	if err != nil {
		return err
	}
	e.options.Follower.Merge(reading, from.String())
	confirmation := registry.Confirmation{Source: response.ConfirmedBy, Number: response.Confirmation}
	e.options.Follower.Confirm(reading.Position, confirmation, milliseconds(response.ReadingAgeMs), now)
	return nil
}

// Prefetch fetches a complete directory from one seed when the daemon starts, which
// saves a listing of the store. It reports whether the seed had a directory that is
// not too old. It takes at most prefetchDialTimeout if the seed is down, and returns
// at once if the seed is busy or not ready.
func (e *Exchange) Prefetch(ctx context.Context) bool {
	seeds := e.options.Table.FetchCandidates(time.Now())
	if len(seeds) == 0 {
		return false
	}
	seed := seeds[rand.IntN(len(seeds))]
	conn, err := e.connect(ctx, seed, prefetchDialTimeout)
	if err != nil {
		e.options.Metrics.Retried(metrics.LinkDial)
		return false
	}
	defer func() { _ = conn.Close() }() // the response has been read or abandoned
	ctx, cancel := context.WithTimeout(ctx, prefetchTimeout)
	defer cancel()
	response, err := peerapi.NewDRPCDirectoryClient(conn).FetchItems(ctx, &peerapi.FetchItemsRequest{AcceptPacked: true})
	if err != nil {
		e.options.Metrics.Retried(metrics.LinkBroken)
		return false
	}
	if response.Revision == 0 || milliseconds(response.ReadingAgeMs) > e.options.Table.MaxAge() {
		return false
	}
	if err := e.applyResponse(response, seed); err != nil {
		e.options.Log.Log(events.FetchFailed, zap.Stringer("peer", seed), events.ErrorMessage(err))
		return false
	}
	return e.options.Follower.Current() != nil
}

// serve serves the calls of peers until the listener is closed.
func (e *Exchange) serve(ctx context.Context) {
	mux := drpcmux.New()
	if err := peerapi.DRPCRegisterDirectory(mux, directoryServer{e}); err != nil {
		e.options.Log.Log(events.DaemonFailed, zap.String("part", "peer service"), events.ErrorMessage(err))
		return
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: idleTimeout}})
	var connections conc.WaitGroup
	defer connections.Wait()
	for ctx.Err() == nil {
		conn, err := e.listener.Accept()
		if err != nil {
			wait.For(ctx, acceptRetryDelay)
			continue
		}
		from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		if err != nil || !e.options.Table.Allowed(from.Addr().Unmap()) {
			e.refuse(from.Addr(), errors.New("address is not registered"))
			_ = conn.Close() // refused
			continue
		}
		connections.Go(func() {
			defer func() { _ = conn.Close() }() // the connection has ended anyway
			// The error only tells how the connection ended; the peer retries.
			_ = server.ServeOne(ctx, conn)
		})
	}
}

// directoryServer implements the service for peers.
type directoryServer struct{ exchange *Exchange }

// FetchItems implements peerapi.DRPCDirectoryServer.
func (s directoryServer) FetchItems(_ context.Context, r *peerapi.FetchItemsRequest) (*peerapi.FetchItemsResponse, error) {
	now := time.Now()
	e := s.exchange
	confirmation, age := e.options.Follower.Freshness(now) // read before the position that it confirms
	reading := e.options.Follower.ChangesSince(directory.Position{Era: r.HaveEra, Revision: r.HaveRevision})
	large := readingSize(reading) > largeResponseSize
	if large {
		// Before the work of encoding: a daemon that refuses hundreds of starting peers
		// must go on forwarding.
		select {
		case e.largeResponses <- struct{}{}:
		default:
			return nil, drpcerr.WithCode(errors.New("busy with other daemons"), codeBusy)
		}
		// The response is sent after this method returns. Release the semaphore when even
		// a slow link should have sent it.
		time.AfterFunc(largeSendTime, func() { <-e.largeResponses })
	}
	response, err := encodeReading(reading, confirmation, age, now, e.packer)
	if err != nil || !large || !r.AcceptPacked {
		return response, err
	}
	return response, packItems(response)
}

// itemOverhead is the approximate size in bytes of an item beside its key and value.
const itemOverhead = 30

// readingSize returns the approximate size of a reading in a response, with the large
// values compressed.
func readingSize(r registry.Reading) int {
	size := 0
	for _, i := range r.Items {
		value := len(i.Value)
		if value >= minPackSize {
			value /= expectedPackRatio
		}
		size += itemOverhead + len(i.Key) + value
	}
	return size
}
