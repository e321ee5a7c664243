package forward

import (
	"net/netip"
	"slices"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/tables"
)

// Periods after a slot has moved to this daemon.
const (
	// PredecessorPeriod is how long packets of unknown flows go to the slot's
	// former holder first.
	PredecessorPeriod = 30 * time.Second
	// SettlingPeriod is how long an unknown UDP flow takes its default server
	// without deviation, because it may be an established flow: the idle
	// timeout of an answered UDP flow.
	SettlingPeriod = 3 * time.Minute
)

// View is an immutable picture of the members, for the packet path.
type View struct {
	Self member.Name
	// SelfDataAddr is the own data address.
	SelfDataAddr netip.AddrPort
	// Eligible tells whether this daemon may decide about flows. Without
	// standing, Map does not contain it.
	Eligible bool
	Map      *owner.Map
	// DataAddrs holds the data address of each member, by its index in Map.
	DataAddrs []netip.AddrPort
	// Peers holds the data addresses of all members that may send packets
	// with a hop option.
	Peers map[netip.AddrPort]struct{}
	// OwnershipChanges holds the ownership changes of the last SettlingPeriod, newest
	// first.
	OwnershipChanges []OwnershipChange
}

// OwnershipChange is one change of the ownership map.
type OwnershipChange struct {
	At     time.Time
	Before *owner.Map
	// Holders tells, by index in Before, which data address knows the flows of
	// that former owner now; the zero value if none does.
	Holders []netip.AddrPort
}

// owns reports whether this daemon decides about the slot.
func (v *View) owns(slot uint32) bool {
	return v.Eligible && v.Map.OwnerName(slot) == v.Self
}

// ownerAddress returns the data address of the slot's owner.
func (v *View) ownerAddress(slot uint32) (netip.AddrPort, bool) {
	i := v.Map.Owner(slot)
	if i == owner.NoOwner {
		return netip.AddrPort{}, false
	}
	return v.DataAddrs[i], true
}

// formerOwners calls visit for each move within the period that changed the
// owner of the slot, newest first, with the index of the owner before it, until
// visit returns false.
func (v *View) formerOwners(slot uint32, now time.Time, within time.Duration, visit func(OwnershipChange, int) bool) {
	current := v.Map.OwnerName(slot)
	for _, m := range v.OwnershipChanges {
		if now.Sub(m.At) > within {
			return
		}
		i := m.Before.Owner(slot)
		if i != owner.NoOwner && m.Before.Members()[i].Name != current && !visit(m, i) {
			return
		}
	}
}

// predecessor returns the data address of the daemon that may know the flows
// of the slot: the newest former holder other than this daemon.
func (v *View) predecessor(slot uint32, now time.Time) (netip.AddrPort, bool) {
	return v.holderBefore(slot, now, true)
}

// earlierHolder returns the daemon that held the slot before this one did. A
// chain of daemons that ask their earlier holders ends, because each one looks
// further back. A daemon that never held the slot may have been named by one
// with another view, and asks the newest holder.
func (v *View) earlierHolder(slot uint32, now time.Time) (netip.AddrPort, bool) {
	held := false
	v.formerOwners(slot, now, PredecessorPeriod, func(m OwnershipChange, i int) bool {
		held = m.Holders[i] == v.SelfDataAddr
		return !held
	})
	return v.holderBefore(slot, now, !held)
}

// holderBefore returns the newest former holder that is not this daemon, if
// past is set, or else the newest one before this daemon was the holder.
func (v *View) holderBefore(slot uint32, now time.Time, past bool) (netip.AddrPort, bool) {
	var found netip.AddrPort
	v.formerOwners(slot, now, PredecessorPeriod, func(m OwnershipChange, i int) bool {
		switch h := m.Holders[i]; {
		case h == v.SelfDataAddr:
			past = true
		case past:
			found = h
		}
		return !found.IsValid()
	})
	return found, found.IsValid()
}

// settling reports whether the slot moved so recently that an unknown UDP flow
// may be an established one.
func (v *View) settling(slot uint32, now time.Time) bool {
	moved := false
	v.formerOwners(slot, now, SettlingPeriod, func(OwnershipChange, int) bool {
		moved = true
		return false
	})
	return moved
}

// tableView is a snapshot with the indexes that only the packet path needs.
type tableView struct {
	*tables.Snapshot
	removedAddress  map[tables.Address]struct{}
	removedEndpoint map[netip.AddrPort]struct{}
	removedServer   map[tables.ServerID]netip.AddrPort
	earlier         history
	// former holds the servers of earlier pools by endpoint.
	former map[netip.AddrPort]formerServer
}

// formerServer is a backend server together with the routes whose earlier
// pools contained it.
type formerServer struct {
	server *tables.Server
	routes []*tables.Route
}

func newTableView(s *tables.Snapshot, earlier history) *tableView {
	v := &tableView{
		Snapshot:        s,
		earlier:         earlier,
		former:          earlier.servers(s),
		removedAddress:  make(map[tables.Address]struct{}),
		removedEndpoint: make(map[netip.AddrPort]struct{}),
		removedServer:   make(map[tables.ServerID]netip.AddrPort),
	}
	for _, r := range s.Reservations() {
		if r.Address.Protocol != 0 {
			v.removedAddress[r.Address] = struct{}{}
			continue
		}
		v.removedEndpoint[r.Address.AddrPort] = struct{}{}
		v.removedServer[tables.ServerID(r.ID)] = r.Address.AddrPort
	}
	return v
}

// isService reports whether callers reach, or until recently reached, a route
// at this address.
func (v *tableView) isService(a tables.Address) bool {
	if _, ok := v.RouteByAddress(a); ok {
		return true
	}
	_, removed := v.removedAddress[a]
	return removed
}

// isEndpoint reports whether a backend server has, or until recently had, this
// endpoint.
func (v *tableView) isEndpoint(endpoint netip.AddrPort) bool {
	if _, ok := v.ServerByEndpoint(endpoint); ok {
		return true
	}
	_, removed := v.removedEndpoint[endpoint]
	return removed
}

// serverAt returns the server with this endpoint, and the routes of a protocol
// whose flows may be on it.
func (v *tableView) serverAt(endpoint netip.AddrPort, p tables.Protocol) (*tables.Server, []*tables.Route) {
	former := v.former[endpoint]
	server, candidates := former.server, former.routes
	if ref, ok := v.ServerByEndpoint(endpoint); ok {
		server = ref.Server
		candidates = slices.Concat(v.RoutesByPool(ref.Pool.Name), former.routes)
	}
	var routes []*tables.Route
	for _, r := range candidates {
		if r.Address.Protocol == p && !slices.Contains(routes, r) {
			routes = append(routes, r)
		}
	}
	return server, routes
}

// endpoint returns the endpoint of a server that is or was in the tables.
func (v *tableView) endpoint(id tables.ServerID) (netip.AddrPort, bool) {
	if ref, ok := v.ServerByID(id); ok {
		return ref.Server.Endpoint, true
	}
	endpoint, ok := v.removedServer[id]
	return endpoint, ok
}
