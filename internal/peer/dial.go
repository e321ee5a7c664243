package peer

import (
	"context"
	"crypto/tls"
	"net/netip"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
)

// outgoingConn is an authenticated connection to a peer.
type outgoingConn struct {
	*drpcconn.Conn
	raw *countingConn
	id  Identity
}

// connect opens an authenticated connection to a daemon of this region. want is the
// member's name, or empty for a seed whose name is not known yet.
func (n *Node) connect(ctx context.Context, to netip.AddrPort, want member.Name) (*outgoingConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := n.cfg.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	raw := newCountingConn(conn, n.cfg.Metrics, n.untrack)
	if !n.track(raw, false) {
		_ = raw.Close()
		return nil, ErrStopped
	}
	o := &outgoingConn{raw: raw}
	secure := tls.Client(raw, n.cfg.Credentials.clientConfig(func(id Identity) error {
		o.id = id
		return n.checkIdentity(id, want)
	}))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	o.Conn = drpcconn.New(secure)
	return o, nil
}

// checkIdentity returns an error if a peer is not in this region, or is not the
// wanted member. An empty want allows any member.
func (n *Node) checkIdentity(id Identity, want member.Name) error {
	self := n.cfg.Table.View().Self
	switch {
	case id.Region != self.Region:
		return refusedf("certificate is for region %q, expected region %q", id.Region, self.Region)
	case want != "" && id.Name != want:
		return refusedf("certificate is for %q, expected %q at this address", id.Name, want)
	}
	return nil
}

// peerLabel returns a description of a peer for error messages. name may be empty.
func peerLabel(name member.Name, address netip.AddrPort) string {
	if name == "" {
		return address.String()
	}
	return string(name) + " at " + address.String()
}

// reportRefusal counts and logs err if it means that a peer failed authentication.
func (n *Node) reportRefusal(err error) {
	if errors.Is(err, ErrRefused) {
		n.cfg.Metrics.Refused(metrics.PeerRefused)
		n.cfg.Events.Log(events.PeerRefused, zap.Error(err))
	}
}
