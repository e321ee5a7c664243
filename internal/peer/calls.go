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

// callTimeout bounds one call to a peer.
const callTimeout = 2 * time.Second

// PutExceptions sends a batch to the member that stores it.
func (n *Node) PutExceptions(ctx context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	return call(ctx, n, "put exceptions", to, func(ctx context.Context, c peerapi.DRPCPeerClient) (*peerapi.ExceptionAck, error) {
		return c.PutExceptions(ctx, b)
	})
}

// FetchTables asks a member for what leads from have to its version.
func (n *Node) FetchTables(ctx context.Context, to member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error) {
	return call(ctx, n, "fetch tables", to, func(ctx context.Context, c peerapi.DRPCPeerClient) (*peerapi.FetchTablesResponse, error) {
		return c.FetchTables(ctx, &peerapi.FetchTablesRequest{HaveVersion: uint64(have)})
	})
}

// Status asks a member for its status.
func (n *Node) Status(ctx context.Context, of member.Name) (*peerapi.StatusResponse, error) {
	return call(ctx, n, "status", of, func(ctx context.Context, c peerapi.DRPCPeerClient) (*peerapi.StatusResponse, error) {
		return c.Status(ctx, &peerapi.StatusRequest{})
	})
}

// call makes one call on a pooled connection. Calls run beside the links, so
// a long answer does not delay heartbeats.
func call[T any](ctx context.Context, n *Node, step string, to member.Name, f func(context.Context, peerapi.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := n.calls.Get(ctx, to, n.connectMember)
	defer func() { _ = conn.Close() }()
	answer, err := f(ctx, peerapi.NewDRPCPeerClient(conn))
	n.noteRefusal(err)
	return answer, stepError(step, string(to), err)
}

// connectMember opens a connection for calls.
func (n *Node) connectMember(ctx context.Context, to member.Name) (*drpcconn.Conn, error) {
	m, known := n.cfg.Table.View().Get(to)
	if !known || m.State == member.Left {
		return nil, ErrUnknownPeer
	}
	o, err := n.connect(ctx, m.Control, to)
	if err != nil {
		return nil, err
	}
	return o.Conn, nil
}

// FetchStatus asks the daemon at a control address for its status, for the
// operators' command. Any daemon of the private CA may answer.
func FetchStatus(ctx context.Context, c *Credentials, address netip.AddrPort) (*peerapi.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := dialTCP(ctx, address)
	if err != nil {
		return nil, stepError("dial", address.String(), err)
	}
	secure := tls.Client(newCountedConn(raw, nil, nil), c.connect(func(Identity) error { return nil }))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, stepError("handshake", address.String(), err)
	}
	conn := drpcconn.New(secure)
	defer func() { _ = conn.Close() }()
	status, err := peerapi.NewDRPCPeerClient(conn).Status(ctx, &peerapi.StatusRequest{})
	if err == nil && status.GetSelf() == nil {
		err = errors.New("answer has no member record")
	}
	return status, stepError("status", address.String(), err)
}
