// Package tables implements the two tables that operators maintain: routes and
// pools of backend servers. A Snapshot is a validated, immutable version of both
// tables; a Delta is the change from one version to the next.
package tables

import (
	"net/netip"
	"time"
)

// Version is the version number of both tables together. Each accepted change
// increments it; 0 means that there are no tables yet.
type Version uint64

// RouteID identifies a route. Ids are never reused.
type RouteID uint32

// ServerID identifies a backend server. Ids are never reused.
type ServerID uint32

// Protocol is the IP protocol number of a route.
type Protocol uint8

// Supported protocols.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the lower-case name that the INI file uses.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "unknown"
}

// ServerState determines whether a backend server gets new flows.
type ServerState string

// States of a backend server.
const (
	// Active servers get new flows.
	Active ServerState = "active"
	// Draining servers keep established flows but get no new ones.
	Draining ServerState = "draining"
)

// Limits and default values of the tables. MaxNameLength is in bytes.
const (
	// ReservationPeriod is how long the address of a removed route or the
	// endpoint of a removed server is unavailable to other services. It is longer
	// than any idle timeout of a flow.
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

// Address is the address, port and protocol by which callers reach a service. Its
// text form is ADDR:PORT/PROTOCOL.
type Address struct {
	AddrPort netip.AddrPort
	Protocol Protocol
}

// Route assigns the traffic to one address to the pool that serves it.
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
	// Weight is the relative speed of the server as configured by the operator;
	// DefaultWeight is normal.
	Weight uint32 `json:"weight,omitempty"`
	// Slots is the number of requests that the server processes concurrently.
	Slots uint32 `json:"slots,omitempty"`
	// Connections is the maximum number of concurrent flows of the server.
	Connections uint32      `json:"connections,omitempty"`
	State       ServerState `json:"state,omitempty"`
}

// Pool is a group of backend servers, sorted by name, which serve the routes that
// name the pool.
type Pool struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
}

// Reservation keeps a removed route address or server endpoint from being
// given to another service before Until.
type Reservation struct {
	// Address is the address of the removed route, or the endpoint of the removed
	// server with protocol 0, which reserves it for both protocols.
	Address Address `json:"address"`
	// ID is the RouteID or ServerID of the removed entry. Exceptions refer to
	// servers by id, so a VM that starts after the removal can still find the
	// endpoint.
	ID uint32 `json:"id"`
	// Owner is the name of the removed route, or POOL/SERVER for a server.
	Owner string    `json:"owner"`
	Until time.Time `json:"until"`
}

// Snapshot is one version of both tables. It is immutable and contains indexes
// for lookups. NewSnapshot and Apply create snapshots.
type Snapshot struct {
	version      Version
	writeID      WriteID       // of the change that made this version
	routes       []Route       // sorted by name
	pools        []Pool        // sorted by name
	reservations []Reservation // sorted by address, endpoints first
	nextID       uint32        // next id to assign

	routeByName          map[string]*Route
	routeByID            map[RouteID]*Route
	routeByAddress       map[Address]*Route
	poolByName           map[string]*Pool
	serverByID           map[ServerID]ServerRef
	serverByEndpoint     map[netip.AddrPort]ServerRef
	routesByPool         map[string][]*Route
	reservationByAddress map[Address]*Reservation
}

// ServerRef is a server together with its pool.
type ServerRef struct {
	Server *Server
	Pool   *Pool
}

// Version returns the version of the tables.
func (s *Snapshot) Version() Version { return s.version }

// WriteID returns the id of the change that created this version, or "" if it is
// unknown. Snapshots with equal versions and different write ids belong to
// different histories, which happens when the store was restored from a backup.
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

// RouteByAddress returns the route with this address.
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
	r, ok := s.serverByEndpoint[endpoint]
	return r, ok
}

// RoutesByPool returns the routes that name this pool.
func (s *Snapshot) RoutesByPool(pool string) []*Route { return s.routesByPool[pool] }

// ReservationByAddress returns the reservation of the address of a removed route,
// or of the endpoint of a removed server if the protocol of a is 0.
func (s *Snapshot) ReservationByAddress(a Address) (*Reservation, bool) {
	r, ok := s.reservationByAddress[a]
	return r, ok
}

// Empty returns the snapshot before the first change: version 0, no entries.
func Empty() *Snapshot {
	s := &Snapshot{nextID: 1}
	s.index()
	return s
}

// index builds the indexes for lookups.
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
	s.serverByEndpoint = make(map[netip.AddrPort]ServerRef)
	for i := range s.pools {
		p := &s.pools[i]
		s.poolByName[p.Name] = p
		for j := range p.Servers {
			ref := ServerRef{Server: &p.Servers[j], Pool: p}
			s.serverByID[ref.Server.ID] = ref
			s.serverByEndpoint[ref.Server.Endpoint] = ref
		}
	}
	s.indexReservations()
}

func (s *Snapshot) indexReservations() {
	s.reservationByAddress = make(map[Address]*Reservation, len(s.reservations))
	for i := range s.reservations {
		s.reservationByAddress[s.reservations[i].Address] = &s.reservations[i]
	}
}
