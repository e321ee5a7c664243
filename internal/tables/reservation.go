package tables

import (
	"strings"
	"time"
)

// holder is an entry that is new at its address.
type holder struct {
	entry Entry
	// address has protocol 0 for a server.
	address Address
	// service is the name of the route, or of the server's pool.
	service string
}

// reserve keeps an address that was dropped from being given to another
// service.
func (d *draft) reserve(a Address, id uint32, owner string, now time.Time) {
	d.reservations[a] = Reservation{Address: a, ID: id, Owner: owner, Until: now.Add(ReservationPeriod)}
}

// take ends the reservations of the address that h now holds, and adds a
// problem for each one that another service left. A reserved endpoint may also
// not become a route's address, nor the reverse: the fabric would deliver
// packets of old flows to the new service.
func (d *draft) take(h holder, now time.Time) {
	protocols := []Protocol{0, TCP, UDP}
	if h.address.Protocol != 0 {
		protocols = []Protocol{0, h.address.Protocol}
	}
	for _, protocol := range protocols {
		a := Address{AddrPort: h.address.AddrPort, Protocol: protocol}
		r, ok := d.reservations[a]
		if !ok {
			continue
		}
		if protocol == h.address.Protocol && r.service() == h.service {
			delete(d.reservations, a)
			continue
		}
		rule := RuleReservedAddress
		if protocol == 0 {
			rule = RuleReservedEndpoint
		}
		d.problems.reserved(h.entry, rule, r, r.Until.Sub(now))
	}
}

// service returns the route, or the pool of the server, that held the address.
// Within one pool an endpoint may change its server: the service stays.
func (r Reservation) service() string {
	pool, _, _ := strings.Cut(r.Owner, "/")
	return pool
}

func serverOwner(pool, server string) string { return pool + "/" + server }

func routeEntry(r *Route) Entry { return Entry{Kind: RouteEntry, Name: r.Name} }

func serverEntry(ref ServerRef) Entry {
	return Entry{Kind: ServerEntry, Pool: ref.Pool.Name, Name: ref.Server.Name}
}
