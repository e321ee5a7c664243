package tables

import (
	"net/netip"
)

// validate checks all rules that do not depend on time. It finds duplicates by
// means of the indexes, which must be built: an entry whose index key leads to
// another entry shares that key with it.
func (s *Snapshot) validate() problems {
	var p problems
	s.checkCounts(&p)
	if len(s.writeID) > maxWriteIDLength {
		p.add(Entry{Kind: TablesEntry}, RuleLimit, "write id has %d bytes, want at most %d", len(s.writeID), maxWriteIDLength)
	}
	for i := range s.routes {
		s.checkRoute(&s.routes[i], &p)
	}
	for i := range s.pools {
		s.checkPool(&s.pools[i], &p)
	}
	s.checkReservations(&p)
	s.checkSize(&p)
	return p
}

// Maximum sizes of the JSON form of an entry in bytes, without names and address.
const (
	maxRouteBytes       = 60
	maxPoolBytes        = 30
	maxServerBytes      = 60
	maxSettingsBytes    = 80 // added for a server whose settings are not the defaults
	maxReservationBytes = 100
	maxIPv4AddressBytes = 25 // 255.255.255.255:65535/tcp
	maxIPv6AddressBytes = 51
)

// checkSize checks the size of the encoded tables. It encodes them only if an
// estimate exceeds the limit: encoding large tables (2700 routes, 4800 servers)
// at each Apply would produce 700 KB.
func (s *Snapshot) checkSize(p *problems) {
	if len(*p) > 0 || s.maxEncodedBytes() <= MaxValueSize {
		return
	}
	if n := len(s.Encode()); n > MaxValueSize {
		p.add(Entry{Kind: TablesEntry}, RuleLimit, "encoded tables have %d bytes, want at most %d", n, MaxValueSize)
	}
}

// maxEncodedBytes returns an upper bound of the size of the encoded tables in
// bytes, without encoding them.
func (s *Snapshot) maxEncodedBytes() int {
	bound := 100 + 6*maxWriteIDLength // JSON escapes a byte with up to 6 bytes
	for _, r := range s.routes {
		bound += maxRouteBytes + len(r.Name) + len(r.Pool) + maxAddressBytes(r.Address.AddrPort)
	}
	for _, pool := range s.pools {
		bound += maxPoolBytes + len(pool.Name)
		for _, srv := range pool.Servers {
			bound += maxServerBytes + len(srv.Name) + len(srv.Zone) + maxAddressBytes(srv.Endpoint)
			if srv != (Server{ID: srv.ID, Name: srv.Name, Endpoint: srv.Endpoint, Zone: srv.Zone}).WithDefaults() {
				bound += maxSettingsBytes
			}
		}
	}
	for _, r := range s.reservations {
		bound += maxReservationBytes + len(r.Owner) + maxIPv6AddressBytes
	}
	return bound
}

func maxAddressBytes(ap netip.AddrPort) int {
	if ap.Addr().Is4() {
		return maxIPv4AddressBytes
	}
	return maxIPv6AddressBytes
}

func (s *Snapshot) checkCounts(p *problems) {
	servers := 0
	for _, pool := range s.pools {
		servers += len(pool.Servers)
	}
	e := Entry{Kind: TablesEntry}
	checkCount(p, e, "routes", len(s.routes), MaxRoutes)
	checkCount(p, e, "pools", len(s.pools), MaxPools)
	checkCount(p, e, "servers", servers, MaxServers)
	if s.nextID == 0 {
		p.add(e, RuleLimit, "all ids are used up")
	}
}

func checkCount(p *problems, e Entry, what string, n, limit int) {
	if n > limit {
		p.add(e, RuleLimit, "%d %s, want at most %d", n, what, limit)
	}
}

func (s *Snapshot) checkRoute(r *Route, p *problems) {
	e := routeEntry(r)
	checkName(p, e, r.Name)
	if s.routeByName[r.Name] != r {
		p.add(e, RuleDuplicateName, "two routes have this name")
	}
	if s.routeByID[r.ID] != r {
		p.add(e, RuleDuplicateID, "id %d also belongs to route %q", r.ID, s.routeByID[r.ID].Name)
	}
	s.checkID(p, e, uint32(r.ID))
	checkAddrPort(p, e, r.Address.AddrPort)
	if r.Address.Protocol != TCP && r.Address.Protocol != UDP {
		p.add(e, RuleProtocol, "protocol %d is not TCP or UDP", r.Address.Protocol)
	}
	if other := s.routeByAddress[r.Address]; other != r {
		p.add(e, RuleAddressShared, "address %s also belongs to route %q", r.Address, other.Name)
	}
	if _, ok := s.poolByName[r.Pool]; !ok {
		p.add(e, RulePoolMissing, "pool %q does not exist", r.Pool)
	}
}

func (s *Snapshot) checkPool(pool *Pool, p *problems) {
	e := Entry{Kind: PoolEntry, Name: pool.Name}
	checkName(p, e, pool.Name)
	if s.poolByName[pool.Name] != pool {
		p.add(e, RuleDuplicateName, "two pools have this name")
	}
	for i := range pool.Servers {
		srv := &pool.Servers[i]
		ref := ServerRef{Server: srv, Pool: pool}
		if i > 0 && pool.Servers[i-1].Name == srv.Name {
			p.add(serverEntry(ref), RuleDuplicateName, "two servers of the pool have this name")
		}
		s.checkServer(ref, p)
	}
	s.checkFamily(pool, p)
}

func (s *Snapshot) checkServer(ref ServerRef, p *problems) {
	e, srv := serverEntry(ref), ref.Server
	checkName(p, e, srv.Name)
	if other := s.serverByID[srv.ID]; other.Server != srv {
		p.add(e, RuleDuplicateID, "id %d also belongs to %s", srv.ID, serverEntry(other))
	}
	s.checkID(p, e, uint32(srv.ID))
	checkAddrPort(p, e, srv.Endpoint)
	if other := s.serverByEndpoint[srv.Endpoint]; other.Server != srv {
		p.add(e, RuleEndpointShared, "endpoint %s also belongs to %s", srv.Endpoint, serverEntry(other))
	}
	for _, protocol := range []Protocol{TCP, UDP} {
		if r, ok := s.RouteByAddress(Address{AddrPort: srv.Endpoint, Protocol: protocol}); ok {
			p.add(e, RuleEndpointIsRoute, "endpoint %s is the address of route %q", srv.Endpoint, r.Name)
		}
	}
	if !validName(srv.Zone) {
		p.add(e, RuleZone, "zone %q is not a valid name", srv.Zone)
	}
	if srv.State != Active && srv.State != Draining {
		p.add(e, RuleState, "state %q is not %s or %s", srv.State, Active, Draining)
	}
	checkRange(p, e, "weight", srv.Weight, MaxWeight)
	checkRange(p, e, "slots", srv.Slots, MaxSlots)
	checkRange(p, e, "connections", srv.Connections, MaxConnections)
}

// checkFamily adds a problem for each server whose address family differs from
// that of a route to its pool. Packets are forwarded by rewriting their
// destination address, which cannot change the IP version.
func (s *Snapshot) checkFamily(pool *Pool, p *problems) {
	var withIPv4, withIPv6 *Route
	for _, r := range s.routesByPool[pool.Name] {
		if r.Address.AddrPort.Addr().Is4() {
			withIPv4 = r
		} else {
			withIPv6 = r
		}
	}
	for i := range pool.Servers {
		srv, other := &pool.Servers[i], withIPv6
		if !srv.Endpoint.Addr().Is4() {
			other = withIPv4
		}
		if other != nil {
			p.add(serverEntry(ServerRef{Server: srv, Pool: pool}), RuleFamily,
				"endpoint %s and the address of route %q differ in IP version", srv.Endpoint, other.Name)
		}
	}
}

func (s *Snapshot) checkReservations(p *problems) {
	for i := range s.reservations {
		r := &s.reservations[i]
		e := Entry{Kind: TablesEntry}
		if !r.Address.AddrPort.IsValid() {
			p.add(e, RuleAddress, "reservation of %q has no address", r.Owner)
		}
		if s.reservationByAddress[r.Address] != r {
			p.add(e, RuleAddressShared, "address %s is reserved twice", r.Address)
		}
		if r.Until.Before(minTime) || r.Until.After(maxTime.Add(ReservationPeriod)) {
			p.add(e, RuleLimit, "reservation of %q ends at %s, out of range", r.Owner, r.Until)
		}
	}
}

func (s *Snapshot) checkID(p *problems, e Entry, id uint32) {
	if id >= s.nextID {
		p.add(e, RuleDuplicateID, "id %d is not below the next id %d", id, s.nextID)
	}
}

func checkName(p *problems, e Entry, name string) {
	if !validName(name) {
		p.add(e, RuleName, "name %q: want 1 to %d letters, digits, '.', '_' or '-', the first a letter or digit",
			name, MaxNameLength)
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		c := name[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

func checkAddrPort(p *problems, e Entry, ap netip.AddrPort) {
	a := ap.Addr()
	switch {
	case !a.IsValid():
		p.add(e, RuleAddress, "no IP address")
	case a.Is4In6() || a.Zone() != "":
		p.add(e, RuleAddress, "address %s is an IPv4-mapped address or has a zone", a)
	case a.IsUnspecified() || a.IsMulticast():
		p.add(e, RuleAddress, "address %s is not a unicast address", a)
	case ap.Port() == 0:
		p.add(e, RulePort, "port is 0, want 1 to 65535")
	}
}

func checkRange(p *problems, e Entry, what string, v, limit uint32) {
	if v == 0 || v > limit {
		p.add(e, RuleLimit, "%s is %d, want 1 to %d", what, v, limit)
	}
}
