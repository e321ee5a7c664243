// Package directory provides immutable snapshots of the routes and the registered
// backend servers, and a Builder that derives the next snapshot from the changes
// that a registry reports.
package directory

import (
	"net/netip"
	"time"
)

// Cookie identifies a backend server in 32 bits that callers echo in every packet
// of a flow. Zero stands for no server.
type Cookie uint32

// CookieOf folds a server's number into a cookie, so that all daemons compute the
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
	// Name is the id that the server registered under.
	Name string
	// Number is the numeric form of the id, which packets to the server carry so
	// that it can reject those for another server.
	Number uint64
	Cookie Cookie
	Pool   string
	// Endpoint is where the server receives packets.
	Endpoint netip.AddrPort
	Zone     string
	// Slots is the number of requests that the server works on at once.
	Slots int
	// Draining is set if the server keeps its flows but takes no new ones.
	Draining bool
	// ColdFor is how much longer the server expects to be slow after its start, as
	// of ReadAt.
	ColdFor time.Duration
	// ReadAt is when a daemon read the registration from the store.
	ReadAt time.Time
	// Started is the start time of the server's process, which tells two processes
	// with one id apart; zero if unknown.
	Started int64
	// Writes counts what the server's process has written to its registration.
	Writes uint64
	// CreateRevision and Revision are the store's revisions of the first and the
	// latest write of the registration.
	CreateRevision, Revision uint64
	// MissingSince is when the registration vanished; zero while it is registered.
	MissingSince time.Time
	// LostByRestore is set if the registration is missing from a restored store. The
	// server takes new flows until it should have registered again.
	LostByRestore bool
	// Retired is set if the server is kept only for the packets of its open flows.
	Retired bool
}

// Cold reports whether the server is still slow after its start.
func (s *Server) Cold(now time.Time) bool { return now.Sub(s.ReadAt) < s.ColdFor }

// Share assigns a part of a route's new flows to a pool, in proportion to Weight.
type Share struct {
	Pool   string
	Weight int
}

// Route distributes the new flows of a service address over pools.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one entry with a positive weight.
	Shares []Share
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// TargetLatency is the latency that responses should stay within.
	TargetLatency time.Duration
	// Priority is the urgency of the requests, from 0, the most urgent, to LeastPriority.
	Priority int
}

// LeastPriority is the priority of the least urgent routes.
const LeastPriority = 1000

// Pool returns the pool for a new flow. draw selects it by weight and should be
// uniformly distributed.
func (r *Route) Pool(draw uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Pool
	}
	total := uint64(0)
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	rest := draw % total
	for _, s := range r.Shares {
		if rest < uint64(s.Weight) {
			return s.Pool
		}
		rest -= uint64(s.Weight)
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow without packets stays open; zero if the configuration
	// does not say.
	IdleTimeout time.Duration
	// Pools holds the settings of pools by name.
	Pools map[string]PoolSettings
}

// PoolSettings is what the configuration states of the servers of a pool.
type PoolSettings struct {
	// ColdStart is how long a server is slow after its start; zero if unknown.
	ColdStart time.Duration
	// ColdPerSecond limits the new flows that all daemons together place on a server in
	// any second while it is cold. There is no limit if it is zero.
	ColdPerSecond float64
}

// Directory is an immutable snapshot of the routes, servers and daemons.
type Directory struct {
	// Position is the store's position up to which all changes are included.
	Position Position
	Config   *Config
	// SettledAt is the time from which on all live servers are known. Before it, the
	// registration of a live server may be absent because it expired with the store
	// while this daemon was down.
	SettledAt time.Time

	routes   map[netip.AddrPort]*Route
	pools    map[string][]*Server
	byCookie map[Cookie]*Server
	servers  int
	vms      map[netip.Addr]*VM

	evacuations map[string]*Evacuation
	// evacuatedPools holds the pools with registered servers in evacuated zones that would
	// take new flows otherwise.
	evacuatedPools map[string]bool
	derived        derived
}

// VM is the registration of a daemon.
type VM struct {
	Name, Zone string
	Addr       netip.Addr
	// Lease is the store's lease that the registration is attached to.
	Lease uint64
}

// VMs returns the registered daemons by address. The map must not be modified.
func (d *Directory) VMs() map[netip.Addr]*VM { return d.vms }

// Route returns the route of a service address, or nil.
func (d *Directory) Route(a netip.AddrPort) *Route { return d.routes[a] }

// Candidates returns the servers of a pool that take new flows, sorted by name. Those in
// evacuated zones take none. The slice and the servers must not be modified.
func (d *Directory) Candidates(pool string) []*Server { return d.pools[pool] }

// Pools returns the servers that take new flows by the name of their pool. The map, the
// slices and the servers must not be modified.
func (d *Directory) Pools() map[string][]*Server { return d.pools }

// Pool returns the settings of a pool, which are zero if the configuration has none.
func (d *Directory) Pool(name string) PoolSettings {
	if d.Config == nil {
		return PoolSettings{}
	}
	return d.Config.Pools[name]
}

// ByCookie returns the server with a cookie, or nil. It finds retired servers for
// as long as they may have open flows.
func (d *Directory) ByCookie(c Cookie) *Server { return d.byCookie[c] }

// ServerCount returns the number of servers that are not retired.
func (d *Directory) ServerCount() int { return d.servers }
