// Package directory holds what a daemon knows of the routes and of the backend
// servers that register themselves, as immutable values, and builds the next
// value from what a registry reports.
package directory

import (
	"net/netip"
	"time"
)

// Cookie names a backend server in 32 bits that a carrier gives back with every
// packet of a flow. Zero names none.
type Cookie uint32

// CookieOf folds the number of a server into a cookie. All daemons compute the
// same cookie without exchanging messages.
func CookieOf(number uint64) Cookie {
	c := Cookie(number) ^ Cookie(number>>32)
	if c == 0 {
		return 1
	}
	return c
}

// Server is one backend server.
type Server struct {
	// Name is the id under which the server registered.
	Name string
	// Number is the id as the server compares it with that of a packet.
	Number   uint64
	Cookie   Cookie
	Pool     string
	Endpoint netip.AddrPort
	Zone     string
	// Slots is how many requests the server works on at once.
	Slots int
	// Draining servers keep their flows and take no new ones.
	Draining bool
	// ColdFor is how much longer the server was slow when it registered, and
	// Seen when this daemon read that.
	ColdFor time.Duration
	ReadAt  time.Time
	// Started tells two processes apart that use one id.
	Started int64
	// CreateRevision and Revision are the store's revisions of the first and the last
	// change of the registration.
	CreateRevision, Revision uint64
	// MissingSince is when the registration vanished without the server having
	// drained; zero while it is registered.
	MissingSince time.Time
	// Retired servers are kept only for the packets of their open flows.
	Retired bool
}

// Cold reports whether the server has started so recently that it is slow.
func (s *Server) Cold(now time.Time) bool { return now.Sub(s.ReadAt) < s.ColdFor }

// Share is the part of a route's new flows that goes to one pool.
type Share struct {
	Pool   string
	Weight int
}

// Route says which traffic belongs to which pools.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one entry with a positive weight.
	Shares []Share
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is how long a request may take.
	Timeout time.Duration
	// TargetLatency is within which a response is worth the most.
	TargetLatency time.Duration
}

// Pool returns the pool for a new flow; draw is uniformly distributed.
func (r *Route) Pool(draw uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Pool
	}
	total := uint64(0)
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	at := draw % total
	for _, s := range r.Shares {
		if at < uint64(s.Weight) {
			return s.Pool
		}
		at -= uint64(s.Weight)
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
}

// Directory is one state of routes and servers. It is immutable.
type Directory struct {
	// Revision is the store's revision up to which the state is complete.
	Revision uint64
	Config   *Config
	// SettledAt is from when on a server that is not known does not exist: before, its
	// registration may have lapsed with the store while this daemon was down.
	SettledAt time.Time

	routes   map[netip.AddrPort]*Route
	pools    map[string][]*Server
	byCookie map[Cookie]*Server
	servers  int
	vms      map[netip.Addr]*VM
}

// VM is a registered daemon.
type VM struct {
	Name, Zone string
	Addr       netip.Addr
	// Lease is what the registration vanishes with.
	Lease uint64
}

// VMs returns the registered daemons by address. The caller must not change
// the map.
func (d *Directory) VMs() map[netip.Addr]*VM { return d.vms }

// Route returns the route of an address, or nil.
func (d *Directory) Route(a netip.AddrPort) *Route { return d.routes[a] }

// Candidates returns the servers of a pool that take new flows, in the order of
// their names. The caller must not change them.
func (d *Directory) Candidates(pool string) []*Server { return d.pools[pool] }

// ByCookie returns the server that a cookie names, or nil. Retired servers are
// found for as long as flows to them may be open.
func (d *Directory) ByCookie(c Cookie) *Server { return d.byCookie[c] }

// ServerCount returns how many servers are known, retired ones left out.
func (d *Directory) ServerCount() int { return d.servers }
