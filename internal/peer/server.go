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
	// acceptRetry is the pause after a failed accept, which is most likely a
	// lack of file descriptors.
	acceptRetry = 100 * time.Millisecond
	// incomingIdle closes connections on which the peer makes no call. It is
	// longer than callIdle, so that the caller closes first.
	incomingIdle = 2 * callIdle
)

// accept serves incoming connections until the listener is closed.
func (n *Node) accept(ctx context.Context) {
	mux := drpcmux.New()
	if err := peerapi.DRPCRegisterPeer(mux, &server{node: n}); err != nil {
		n.cfg.Events.Log(events.DaemonFailed, zap.Error(errors.Wrap(err, "register peer service")))
		return
	}
	rpc := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{InactivityTimeout: incomingIdle},
	})
	for ctx.Err() == nil {
		conn, err := n.cfg.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			wait.For(ctx, acceptRetry)
			continue
		}
		n.group.Go(func() { n.serve(ctx, rpc, conn) })
	}
}

// serve authenticates one connection and answers its calls.
func (n *Node) serve(ctx context.Context, rpc *drpcserver.Server, conn net.Conn) {
	raw := newCountedConn(conn, n.cfg.Metrics, n.untrack)
	defer func() { _ = raw.Close() }()
	if !n.track(raw, true) {
		n.cfg.Metrics.Refused(metrics.PeerRefused)
		return
	}
	secure := tls.Server(raw, n.cfg.Credentials.accept())
	handshake, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := secure.HandshakeContext(handshake); err != nil {
		n.noteRefusal(stepError("accept", conn.RemoteAddr().String(), err))
		return
	}
	// The error only says how the connection ended; links log their end.
	_ = rpc.ServeOne(ctx, secure)
}

// server answers calls. Its methods run with a context that leads to the
// authenticated connection.
type server struct{ node *Node }

// caller returns the identity in the certificate of the calling peer.
func caller(ctx context.Context) (Identity, *tls.Conn, error) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return Identity{}, nil, errors.New("call without a transport")
	}
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return Identity{}, nil, errors.New("call outside TLS")
	}
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return Identity{}, nil, refusedf("caller has no certificate")
	}
	id, err := identityOf(certificates[0])
	return id, conn, err
}

// fellow returns the name of a calling daemon of the own region.
func (s *server) fellow(ctx context.Context) (member.Name, error) {
	id, _, err := caller(ctx)
	if err != nil {
		return "", err
	}
	if err := s.node.checkIdentity(id, ""); err != nil {
		err = stepError("answer", string(id.Name), err)
		s.node.noteRefusal(err)
		return "", err
	}
	return id.Name, nil
}

// Link serves the link of a ring neighbour.
func (s *server) Link(stream peerapi.DRPCPeer_LinkStream) error {
	id, conn, err := caller(stream.Context())
	if err != nil {
		return err
	}
	raw, ok := conn.NetConn().(*countedConn)
	if !ok {
		return errors.New("link outside a counted connection")
	}
	l := newLink(s.node, stream, raw, false)
	err = l.serve(stream.Context(), id)
	return stepError("link", string(id.Name), err)
}

// FetchTables returns what the caller lacks.
func (s *server) FetchTables(ctx context.Context, r *peerapi.FetchTablesRequest) (*peerapi.FetchTablesResponse, error) {
	if _, err := s.fellow(ctx); err != nil {
		return nil, err
	}
	return s.node.cfg.Tables.Fetch(tables.Version(r.GetHaveVersion())), nil
}

// PutExceptions stores exceptions that a member sends.
func (s *server) PutExceptions(ctx context.Context, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	from, err := s.fellow(ctx)
	if err != nil {
		return nil, err
	}
	if m, known := s.node.cfg.Table.View().Get(from); !known || m.State == member.Left {
		s.node.cfg.Metrics.Refused(metrics.PeerNotMember)
		return nil, stepError("store exceptions", string(from), ErrUnknownPeer)
	}
	return s.node.cfg.Handler.StoreExceptions(from, b), nil
}

// Status reports to any holder of a certificate, operators included.
func (s *server) Status(context.Context, *peerapi.StatusRequest) (*peerapi.StatusResponse, error) {
	return s.node.cfg.Handler.Status(), nil
}
