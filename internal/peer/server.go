package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

const (
	// acceptRetryDelay is the delay after a failed accept. The most likely cause is a
	// lack of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
	// incomingIdleTimeout is how long an incoming connection without a call stays
	// open. It is longer than callIdleTimeout, so that the dialling side closes first.
	incomingIdleTimeout = 2 * callIdleTimeout
)

// accept accepts and serves connections until the listener is closed.
func (n *Node) accept(ctx context.Context) {
	mux := drpcmux.New()
	if err := peerapi.DRPCRegisterPeer(mux, &server{node: n}); err != nil {
		n.cfg.Events.Log(events.DaemonFailed, zap.Error(errors.Wrap(err, "register peer service")))
		return
	}
	rpc := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{InactivityTimeout: incomingIdleTimeout},
	})
	for ctx.Err() == nil {
		conn, err := n.cfg.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			wait.For(ctx, acceptRetryDelay)
			continue
		}
		n.group.Go(func() { n.serve(ctx, rpc, conn) })
	}
}

// serve authenticates one incoming connection and answers the calls on it.
func (n *Node) serve(ctx context.Context, rpc *drpcserver.Server, conn net.Conn) {
	raw := newCountingConn(conn, n.cfg.Metrics, n.untrack)
	defer func() { _ = raw.Close() }()
	if !n.track(raw, true) {
		n.cfg.Metrics.Refused(metrics.PeerRefused)
		return
	}
	secure := tls.Server(raw, n.cfg.Credentials.serverConfig())
	handshakeCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := secure.HandshakeContext(handshakeCtx); err != nil {
		n.reportRefusal(opError("accept", conn.RemoteAddr().String(), err))
		return
	}
	// The error only tells how the connection ended, which links log themselves.
	_ = rpc.ServeOne(ctx, secure)
}

// server implements the Peer service. The context of each call holds the
// authenticated connection.
type server struct{ node *Node }

// peerIdentity returns the identity in the calling peer's certificate, and the
// connection of the call.
func peerIdentity(ctx context.Context) (Identity, *tls.Conn, error) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return Identity{}, nil, errors.New("call context has no transport")
	}
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return Identity{}, nil, errors.New("call is not over TLS")
	}
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return Identity{}, nil, refusedf("calling peer sent no certificate")
	}
	id, err := identityOf(certificates[0])
	return id, conn, err
}

// callingDaemon returns the name of the calling daemon. It refuses daemons of other
// regions.
func (s *server) callingDaemon(ctx context.Context) (member.Name, error) {
	id, _, err := peerIdentity(ctx)
	if err != nil {
		return "", err
	}
	if err := s.node.checkIdentity(id, ""); err != nil {
		err = opError("answer", string(id.Name), err)
		s.node.reportRefusal(err)
		return "", err
	}
	return id.Name, nil
}

// Link serves a link that a peer has opened.
func (s *server) Link(stream peerapi.DRPCPeer_LinkStream) error {
	id, conn, err := peerIdentity(stream.Context())
	if err != nil {
		return err
	}
	raw, ok := conn.NetConn().(*countingConn)
	if !ok {
		return errors.New("link is not on a counting connection")
	}
	l := newLink(s.node, stream, raw, false)
	err = l.serve(stream.Context(), id)
	return opError("link", string(id.Name), err)
}

// FetchTables returns the deltas or the snapshot that the calling daemon lacks.
func (s *server) FetchTables(ctx context.Context, r *peerapi.FetchTablesRequest) (*peerapi.FetchTablesResponse, error) {
	if _, err := s.callingDaemon(ctx); err != nil {
		return nil, err
	}
	return s.node.cfg.Tables.Fetch(tables.Version(r.GetHaveVersion())), nil
}

// PutExceptions stores the exceptions that a member sent.
func (s *server) PutExceptions(ctx context.Context, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	from, err := s.callingDaemon(ctx)
	if err != nil {
		return nil, err
	}
	if m, known := s.node.cfg.Table.View().Get(from); !known || m.State == member.Left {
		s.node.cfg.Metrics.Refused(metrics.PeerNotMember)
		return nil, opError("store exceptions", string(from), ErrUnknownPeer)
	}
	return s.node.cfg.Handler.StoreExceptions(from, b), nil
}

// Status returns the status of this daemon. Any holder of a certificate of the
// private CA may call it, including operators.
func (s *server) Status(context.Context, *peerapi.StatusRequest) (*peerapi.StatusResponse, error) {
	return s.node.cfg.Handler.Status(), nil
}
