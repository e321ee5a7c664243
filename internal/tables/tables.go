// Package tables holds the operators' two tables, routes and pools, as
// checked and immutable values: whole numbered snapshots and the deltas
// between them.
package tables

import (
	"net/netip"
	"time"
)

// Version numbers a whole state of both tables. Each accepted change adds one;
// zero means no tables.
type Version uint64

// RouteID identifies a route for good. Ids are never reused.
type RouteID uint32

// ServerID identifies a backend server for good. Ids are never reused.
type ServerID uint32

// Protocol is the IP protocol number of a route.
type Protocol uint8

// Protocols that a route can have.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the lower-case name that the INI tables use.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "unknown"
}

// ServerState tells whether a backend server takes new flows.
type ServerState string

// States of a backend server.
const (
	// Active servers take new flows.
	Active ServerState = "active"
	// Draining servers keep established flows and take no new ones.
	Draining ServerState = "draining"
)

// Limits of the tables and their default values.
const (
	// ReservationPeriod is how long a removed address or endpoint stays
	// unavailable to another service; longer than any idle timeout of a flow.
	ReservationPeriod = 3 * time.Hour

	DefaultWeight      = 100
	DefaultSlots       = 2
	DefaultConnections = 2000

	MaxWeight      = 10_000
	MaxSlots       = 100_000
	MaxConnections = 1_000_000
	MaxNameLength  = 63
	MaxRoutes      = 10_000
	MaxPools       = 10_000
	MaxServers     = 50_000
)

// Address is where callers reach a service. Its text form is
// ADDR:PORT/PROTOCOL.
type Address struct {
	AddrPort netip.AddrPort
	Protocol Protocol
}

// Route says which traffic belongs to which service, and names its pool.
type Route struct {
	ID      RouteID `json:"id,omitempty"`
	Name    string  `json:"name"`
	Address Address `json:"address"`
	Pool    string  `json:"pool"`
}

// Server is one backend server of a pool.
type Server struct {
	ID       ServerID       `json:"id,omitempty"`
	Name     string         `json:"name"`
	Endpoint netip.AddrPort `json:"endpoint"`
	Zone     string         `json:"zone"`
	// Weight is the operator's relative speed; DefaultWeight is normal.
	Weight uint32 `json:"weight,omitempty"`
	// Slots is how many requests the server works on at once.
	Slots uint32 `json:"slots,omitempty"`
	// Connections is how many flows the server accepts.
	Connections uint32      `json:"connections,omitempty"`
	State       ServerState `json:"state,omitempty"`
}

// Pool says which backend servers serve the routes that name it. Servers are
// sorted by name.
type Pool struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
}

// Reservation keeps a removed route address or server endpoint from being
// given to another service before Until.
type Reservation struct {
	// Address is set for a removed route, with the protocol; for a removed
	// server Protocol is 0 and the endpoint is reserved for both protocols.
	Address Address `json:"address"`
	// ID is the RouteID or ServerID that the entry had. Exceptions name
	// servers by id, so a VM that starts now can still find the endpoint.
	ID uint32 `json:"id"`
	// Owner is the name of the route, or POOL/SERVER, that held it.
	Owner string    `json:"owner"`
	Until time.Time `json:"until"`
}

// Snapshot is a whole version of the tables. It is immutable: build one with
// NewSnapshot or Apply. Lookups use indexes built once.
type Snapshot struct {
	version      Version
	writeID      WriteID       // of the change that made this version
	routes       []Route       // sorted by name
	pools        []Pool        // sorted by name
	reservations []Reservation // sorted by address, endpoints first
	nextID       uint32

	routeByName    map[string]*Route
	routeByID      map[RouteID]*Route
	routeByAddress map[Address]*Route
	poolByName     map[string]*Pool
	serverByID     map[ServerID]ServerRef
	serverByAddr   map[netip.AddrPort]ServerRef
	routesByPool   map[string][]*Route
	reservedByAddr map[Address]*Reservation
}

// ServerRef is a server together with its pool.
type ServerRef struct {
	Server *Server
	Pool   *Pool
}

// Version returns the number of this state of the tables.
func (s *Snapshot) Version() Version { return s.version }

// WriteID returns the id of the change that made this version. Two snapshots
// with one version and different ids belong to different histories, as after
// the store was restored from a backup. It is empty if it is not known.
func (s *Snapshot) WriteID() WriteID { return s.writeID }

// Routes returns all routes sorted by name. The caller must not change them.
func (s *Snapshot) Routes() []Route { return s.routes }

// Pools returns all pools sorted by name. The caller must not change them.
func (s *Snapshot) Pools() []Pool { return s.pools }

// Reservations returns the reserved addresses and endpoints.
func (s *Snapshot) Reservations() []Reservation { return s.reservations }

// Route returns the route with this name.
func (s *Snapshot) Route(name string) (*Route, bool) {
	r, ok := s.routeByName[name]
	return r, ok
}

// RouteByID returns the route with this id.
func (s *Snapshot) RouteByID(id RouteID) (*Route, bool) {
	r, ok := s.routeByID[id]
	return r, ok
}

// RouteByAddress returns the route that callers reach at this address.
func (s *Snapshot) RouteByAddress(a Address) (*Route, bool) {
	r, ok := s.routeByAddress[a]
	return r, ok
}

// Pool returns the pool with this name.
func (s *Snapshot) Pool(name string) (*Pool, bool) {
	p, ok := s.poolByName[name]
	return p, ok
}

// Server returns a copy of the server with this name in a pool.
func (s *Snapshot) Server(pool, name string) (Server, bool) {
	if p, ok := s.poolByName[pool]; ok {
		if i := findServer(p.Servers, name); i >= 0 {
			return p.Servers[i], true
		}
	}
	return Server{}, false
}

// ServerByID returns the server with this id and its pool.
func (s *Snapshot) ServerByID(id ServerID) (ServerRef, bool) {
	r, ok := s.serverByID[id]
	return r, ok
}

// ServerByEndpoint returns the server with this endpoint and its pool.
func (s *Snapshot) ServerByEndpoint(endpoint netip.AddrPort) (ServerRef, bool) {
	r, ok := s.serverByAddr[endpoint]
	return r, ok
}

// RoutesByPool returns the routes that name this pool.
func (s *Snapshot) RoutesByPool(pool string) []*Route { return s.routesByPool[pool] }

// ReservationByAddress returns the reservation of a removed route's address, or of a
// removed server's endpoint when the protocol of a is 0.
func (s *Snapshot) ReservationByAddress(a Address) (*Reservation, bool) {
	r, ok := s.reservedByAddr[a]
	return r, ok
}

// Empty is the state before the first accepted change: version 0, no entries.
func Empty() *Snapshot {
	s := &Snapshot{nextID: 1}
	s.index()
	return s
}

func (s *Snapshot) index() {
	s.routeByName = make(map[string]*Route, len(s.routes))
	s.routeByID = make(map[RouteID]*Route, len(s.routes))
	s.routeByAddress = make(map[Address]*Route, len(s.routes))
	s.routesByPool = make(map[string][]*Route, len(s.pools))
	for i := range s.routes {
		r := &s.routes[i]
		s.routeByName[r.Name] = r
		s.routeByID[r.ID] = r
		s.routeByAddress[r.Address] = r
		s.routesByPool[r.Pool] = append(s.routesByPool[r.Pool], r)
	}
	s.poolByName = make(map[string]*Pool, len(s.pools))
	s.serverByID = make(map[ServerID]ServerRef)
	s.serverByAddr = make(map[netip.AddrPort]ServerRef)
	for i := range s.pools {
		p := &s.pools[i]
		s.poolByName[p.Name] = p
		for j := range p.Servers {
			ref := ServerRef{Server: &p.Servers[j], Pool: p}
			s.serverByID[ref.Server.ID] = ref
			s.serverByAddr[ref.Server.Endpoint] = ref
		}
	}
	s.indexReservations()
}

func (s *Snapshot) indexReservations() {
	s.reservedByAddr = make(map[Address]*Reservation, len(s.reservations))
	for i := range s.reservations {
		s.reservedByAddr[s.reservations[i].Address] = &s.reservations[i]
	}
}
