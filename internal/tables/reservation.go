package tables

import (
	"strings"
	"time"
)

// claim is the use of an address or endpoint by an entry that did not use it
// before the delta.
type claim struct {
	entry Entry
	// address is the route's address, or the server's endpoint with protocol 0.
	address Address
	// service is the name of the route or of the server's pool.
	service string
}

// reserve reserves an address that owner no longer uses for ReservationPeriod,
// so that no other service can use it.
func (d *draft) reserve(a Address, id uint32, owner string, now time.Time) {
	d.reservations[a] = Reservation{Address: a, ID: id, Owner: owner, Until: now.Add(ReservationPeriod)}
}

// checkClaim removes the reservation of the claimed address if the same service
// used the address before, and adds a problem if another service did. A reserved
// endpoint also cannot become the address of a route, nor a reserved address an
// endpoint: the fabric would deliver packets of old flows to the new service.
func (d *draft) checkClaim(c claim, now time.Time) {
	protocols := []Protocol{0, TCP, UDP}
	if c.address.Protocol != 0 {
		protocols = []Protocol{0, c.address.Protocol}
	}
	for _, protocol := range protocols {
		a := Address{AddrPort: c.address.AddrPort, Protocol: protocol}
		r, ok := d.reservations[a]
		if !ok {
			continue
		}
		if protocol == c.address.Protocol && r.service() == c.service {
			delete(d.reservations, a)
			continue
		}
		rule := RuleReservedAddress
		if protocol == 0 {
			rule = RuleReservedEndpoint
		}
		d.problems.addReserved(c.entry, rule, r, r.Until.Sub(now))
	}
}

// service returns the name of the route, or of the server's pool, that used the
// address. The server does not matter, because another server of the same pool may
// take over the endpoint.
func (r Reservation) service() string {
	pool, _, _ := strings.Cut(r.Owner, "/")
	return pool
}

// serverOwner returns the Owner of a reservation of the server's endpoint.
func serverOwner(pool, server string) string { return pool + "/" + server }

func routeEntry(r *Route) Entry { return Entry{Kind: RouteEntry, Name: r.Name} }

func serverEntry(ref ServerRef) Entry {
	return Entry{Kind: ServerEntry, Pool: ref.Pool.Name, Name: ref.Server.Name}
}
