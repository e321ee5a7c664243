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

// Handler answers calls from other daemons.
type Handler interface {
	// StoreExceptions stores the exceptions that a member sent.
	StoreExceptions(from member.Name, b *peerapi.ExceptionBatch) *peerapi.ExceptionAck
	// Status returns the status of this daemon.
	Status() *peerapi.StatusResponse
}

// Tables gives a Node access to the operators' tables. The methods must not block.
type Tables interface {
	// Version returns the version in force, or 0 before the first one.
	Version() tables.Version
	// Age returns the time since the version in force was last confirmed to be the
	// newest one.
	Age() time.Duration
	// Offer passes a change that a peer flooded.
	Offer(from member.Name, version tables.Version, delta []byte)
	// ObserveVersion passes the version from a peer's hello or heartbeat, and the
	// time since that version was last confirmed to be the newest one.
	ObserveVersion(from member.Name, version tables.Version, age time.Duration)
	// Fetch returns the deltas or the snapshot that lead from version have to the
	// version in force.
	Fetch(have tables.Version) *peerapi.FetchTablesResponse
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]store.VM, error)
}

// DialFunc opens a connection to the control address of a member.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Config configures a Node. All fields except Seeds, VMLister and Dial are required.
type Config struct {
	Table       *member.Table
	Tables      Tables
	Handler     Handler
	Credentials *Credentials
	// Listener accepts connections at this daemon's control address. Run closes it.
	Listener net.Listener
	// Seeds are control addresses of other VMs, through which this daemon joins the
	// region.
	Seeds []netip.AddrPort
	// VMLister provides further seeds. Dead members that are missing from its list
	// are removed.
	VMLister VMLister
	// Dial opens connections to peers, by default over TCP.
	Dial    DialFunc
	Events  *events.Logger
	Metrics *metrics.Registry
}

// check returns an error if a required field is missing, or if the certificate is not
// for this daemon. It sets Dial if it is nil.
func (c *Config) check() error {
	if c.Table == nil || c.Tables == nil || c.Handler == nil || c.Credentials == nil ||
		c.Listener == nil || c.Events == nil || c.Metrics == nil {
		return errors.New("peer node: a required field of the configuration is missing")
	}
	self := c.Table.View().Self
	if id := c.Credentials.Identity; id.Name != self.Name || id.Region != self.Region {
		return errors.Errorf("certificate is issued to %q in region %q, but the settings name %q in region %q",
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
