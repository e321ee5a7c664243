package exchange

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"
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
	// fetchRetry is the pause after a round in which no peer had the news.
	fetchRetry = 100 * time.Millisecond
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
		for _, from := range e.options.Table.Suppliers(time.Now()) {
			if ctx.Err() != nil || e.fetchFrom(ctx, connections, from) {
				break
			}
		}
	}
}

// fetchFrom asks one peer. It reports whether that brought the directory up to
// date.
func (e *Exchange) fetchFrom(ctx context.Context, connections map[netip.Addr]*drpcconn.Conn, from netip.Addr) bool {
	err := e.call(ctx, connections, from)
	if err == nil {
		return len(e.options.Table.Suppliers(time.Now())) == 0
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
		// Peers know a daemon by its address.
		dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: e.options.Address.Addr().AsSlice()}}
		raw, err := dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(from, e.options.Address.Port()).String())
		if err != nil {
			return errors.Wrap(err, "connect")
		}
		conn = drpcconn.NewWithOptions(raw, drpcconn.Options{
			Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxResponse}},
		})
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
	e.options.Follower.Offer(decodeReading(response, time.Now()), from.String())
	return nil
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
		if err != nil || !e.options.Table.Admits(from.Addr().Unmap()) {
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
	return encodeReading(s.exchange.options.Follower.Since(r.HaveRevision), time.Now()), nil
}
