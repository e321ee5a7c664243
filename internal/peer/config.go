package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Handler is what a Node calls when another daemon asks.
type Handler interface {
	StoreExceptions(from member.Name, b *peerapi.ExceptionBatch) *peerapi.ExceptionAck
	Status() *peerapi.StatusResponse
}

// Tables is what a Node tells and asks about the operators' tables. The
// methods must not block.
type Tables interface {
	// Version returns the version in force, 0 before the first.
	Version() tables.Version
	// Age returns the time since the version was last confirmed as newest.
	Age() time.Duration
	// Offer hands over a change that a peer flooded.
	Offer(from member.Name, version tables.Version, delta []byte)
	// ObserveVersion notes what a peer's heartbeat says.
	ObserveVersion(from member.Name, version tables.Version, age time.Duration)
	// Fetch returns what leads from have to the version in force.
	Fetch(have tables.Version) *peerapi.FetchTablesResponse
}

// VMLister is the platform's list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]store.VM, error)
}

// DialFunc opens a connection to a control address.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Config holds what a Node needs. All fields but Contacts, Directory and Dial
// are required.
type Config struct {
	Table       *member.Table
	Tables      Tables
	Handler     Handler
	Credentials *Credentials
	// Listener accepts connections at the own control address; Run closes it.
	Listener net.Listener
	// Seeds are control addresses of other VMs to meet the region through.
	Seeds []netip.AddrPort
	// VMLister gives more contacts, and removes members that are gone.
	VMLister VMLister
	// Dial replaces TCP in tests.
	Dial    DialFunc
	Events  *events.Logger
	Metrics *metrics.Registry
}

func (c *Config) check() error {
	if c.Table == nil || c.Tables == nil || c.Handler == nil || c.Credentials == nil ||
		c.Listener == nil || c.Events == nil || c.Metrics == nil {
		return errors.New("peer node: a required part is missing")
	}
	self := c.Table.View().Self
	if id := c.Credentials.Identity; id.Name != self.Name || id.Region != self.Region {
		return errors.Errorf("certificate is for %q in region %q, settings name %q in region %q",
			id.Name, id.Region, self.Name, self.Region)
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return nil
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}
