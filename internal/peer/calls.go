package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// callTimeout is the timeout of one call to a peer, including the time to connect.
const callTimeout = 2 * time.Second

// PutExceptions sends a batch of exceptions to the member that stores them.
func (n *Node) PutExceptions(ctx context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	return call(ctx, n, "put exceptions", to, func(ctx context.Context, c peerapi.DRPCPeerClient) (*peerapi.ExceptionAck, error) {
		return c.PutExceptions(ctx, b)
	})
}

// FetchTables requests from a member the deltas or the snapshot that lead from
// version have to the member's version.
func (n *Node) FetchTables(ctx context.Context, to member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error) {
	return call(ctx, n, "fetch tables", to, func(ctx context.Context, c peerapi.DRPCPeerClient) (*peerapi.FetchTablesResponse, error) {
		return c.FetchTables(ctx, &peerapi.FetchTablesRequest{HaveVersion: uint64(have)})
	})
}

// Status requests a member's status.
func (n *Node) Status(ctx context.Context, to member.Name) (*peerapi.StatusResponse, error) {
	return call(ctx, n, "status", to, func(ctx context.Context, c peerapi.DRPCPeerClient) (*peerapi.StatusResponse, error) {
		return c.Status(ctx, &peerapi.StatusRequest{})
	})
}

// call makes one call on a pooled connection. Calls and links use separate
// connections, so that a large response does not delay heartbeats.
func call[T any](ctx context.Context, n *Node, op string, to member.Name, f func(context.Context, peerapi.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := n.calls.Get(ctx, to, n.connectMember)
	defer func() { _ = conn.Close() }()
	response, err := f(ctx, peerapi.NewDRPCPeerClient(conn))
	n.reportRefusal(err)
	return response, opError(op, string(to), err)
}

// connectMember opens a connection for calls to a member.
func (n *Node) connectMember(ctx context.Context, to member.Name) (*drpcconn.Conn, error) {
	m, known := n.cfg.Table.View().Get(to)
	if !known || m.State == member.Left {
		return nil, ErrUnknownPeer
	}
	conn, err := n.connect(ctx, m.Control, to)
	if err != nil {
		return nil, err
	}
	return conn.Conn, nil
}

// FetchStatus requests the status of the daemon at a control address, for the
// operators' command. It accepts any daemon with a certificate of the private CA.
func FetchStatus(ctx context.Context, c *Credentials, address netip.AddrPort) (*peerapi.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := dialTCP(ctx, address)
	if err != nil {
		return nil, opError("dial", address.String(), err)
	}
	secure := tls.Client(newCountingConn(raw, nil, nil), c.clientConfig(func(Identity) error { return nil }))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, opError("handshake", address.String(), err)
	}
	conn := drpcconn.New(secure)
	defer func() { _ = conn.Close() }()
	status, err := peerapi.NewDRPCPeerClient(conn).Status(ctx, &peerapi.StatusRequest{})
	if err == nil && status.GetSelf() == nil {
		err = errors.New("response contains no member record")
	}
	return status, opError("status", address.String(), err)
}
