package tables

import (
	"slices"
	"strings"
	"time"
)

// reserve carries the reservations of old that are not over at now into s, and
// adds those of the addresses and endpoints that s no longer holds. It returns
// an error for each one that s gives to another service.
func (s *Snapshot) reserve(old *Snapshot, now time.Time) problems {
	var p problems
	for _, r := range slices.Concat(old.reservations, s.dropped(old, now)) {
		if left := r.Until.Sub(now); left > 0 && !s.holds(r, left, &p) {
			s.reservations = append(s.reservations, r)
		}
	}
	s.sortReservations()
	s.indexReservations()
	return p
}

// dropped returns a reservation for each route and server of old that is not
// in s. Those that keep name and address keep their id.
func (s *Snapshot) dropped(old *Snapshot, now time.Time) []Reservation {
	until := now.Add(ReservationPeriod)
	var out []Reservation
	for _, r := range old.routes {
		if _, kept := s.RouteByID(r.ID); !kept {
			out = append(out, Reservation{Address: r.Address, ID: uint32(r.ID), Owner: r.Name, Until: until})
		}
	}
	for _, p := range old.pools {
		for _, srv := range p.Servers {
			if _, kept := s.ServerByID(srv.ID); !kept {
				a := Address{AddrPort: srv.Endpoint}
				out = append(out, Reservation{Address: a, ID: uint32(srv.ID), Owner: serverOwner(p.Name, srv.Name), Until: until})
			}
		}
	}
	return out
}

// holds reports whether s uses the address of r, and adds an error if another
// service than its owner does. A reserved endpoint may also not become a
// route's address, nor the reverse: the fabric would deliver packets of old
// flows to the new service.
func (s *Snapshot) holds(r Reservation, left time.Duration, p *problems) bool {
	held := false
	for _, protocol := range []Protocol{TCP, UDP} {
		route, ok := s.RouteFor(Address{AddrPort: r.Address.AddrPort, Protocol: protocol})
		if !ok || (r.Address.Protocol != 0 && r.Address.Protocol != protocol) {
			continue
		}
		held = true
		if r.Address.Protocol == 0 {
			p.reserved(routeEntry(route), RuleReservedEndpoint, r, left)
		} else if route.Name != r.Owner {
			p.reserved(routeEntry(route), RuleReservedAddress, r, left)
		}
	}
	ref, ok := s.ServerAt(r.Address.AddrPort)
	if !ok {
		return held
	}
	if r.Address.Protocol != 0 {
		p.reserved(serverEntry(ref), RuleReservedAddress, r, left)
	} else if pool, _, _ := strings.Cut(r.Owner, "/"); pool != ref.Pool.Name {
		// Within one pool an endpoint may change its server: the service stays.
		p.reserved(serverEntry(ref), RuleReservedEndpoint, r, left)
	}
	return true
}

func serverOwner(pool, server string) string { return pool + "/" + server }

func routeEntry(r *Route) Entry { return Entry{Kind: RouteEntry, Name: r.Name} }

func serverEntry(ref ServerRef) Entry {
	return Entry{Kind: ServerEntry, Pool: ref.Pool.Name, Name: ref.Server.Name}
}
