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

// outgoing is an authenticated connection to a peer.
type outgoing struct {
	*drpcconn.Conn
	raw *countedConn
	id  Identity
}

// connect opens a connection to a daemon of the own region. want is the
// member's name, or empty for a contact whose name is not known yet.
func (n *Node) connect(ctx context.Context, to netip.AddrPort, want member.Name) (*outgoing, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := n.cfg.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	raw := newCountedConn(conn, n.cfg.Metrics, n.untrack)
	if !n.track(raw, false) {
		_ = raw.Close()
		return nil, ErrStopped
	}
	o := &outgoing{raw: raw}
	secure := tls.Client(raw, n.cfg.Credentials.connect(func(id Identity) error {
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

// checkIdentity checks who answered at an address.
func (n *Node) checkIdentity(id Identity, want member.Name) error {
	self := n.cfg.Table.View().Self
	switch {
	case id.Region != self.Region:
		return refusedf("certificate of region %q in region %q", id.Region, self.Region)
	case want != "" && id.Name != want:
		return refusedf("certificate of %q at the address of %q", id.Name, want)
	}
	return nil
}

// peerLabel names a peer in errors and logs.
func peerLabel(name member.Name, address netip.AddrPort) string {
	if name == "" {
		return address.String()
	}
	return string(name) + " at " + address.String()
}

// noteRefusal counts and logs an error that means a forged peer.
func (n *Node) noteRefusal(err error) {
	if errors.Is(err, ErrRefused) {
		n.cfg.Metrics.Refused(metrics.PeerRefused)
		n.cfg.Events.Log(events.PeerRefused, zap.Error(err))
	}
}
