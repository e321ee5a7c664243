package forward

import (
	"net/netip"
	"slices"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/tables"
)

// Periods after a slot has moved to another owner.
const (
	// PredecessorPeriod is how long the new owner of a slot sends packets of
	// unknown flows to the slot's predecessor first; see View.predecessor.
	PredecessorPeriod = 30 * time.Second
	// SettlingPeriod is how long a slot is settling: an unknown UDP flow goes
	// to its default server, because it may be an established flow. It equals
	// the idle timeout of an answered UDP flow.
	SettlingPeriod = 3 * time.Minute
)

// View is an immutable view of the members and their slots, for the packet
// path.
type View struct {
	Self member.Name
	// SelfDataAddr is the data address of this daemon.
	SelfDataAddr netip.AddrPort
	// Eligible tells whether this daemon may open flows and decide about them.
	// If it may not, Map does not contain it.
	Eligible bool
	Map      *owner.Map
	// DataAddrs holds the data address of each member, by its index in Map.
	DataAddrs []netip.AddrPort
	// Peers holds the data addresses from which packets with a hop option are
	// accepted.
	Peers map[netip.AddrPort]struct{}
	// OwnershipChanges holds the changes of the last SettlingPeriod, newest
	// first.
	OwnershipChanges []OwnershipChange
}

// OwnershipChange is one change of the ownership map.
type OwnershipChange struct {
	At time.Time
	// Before is the map before the change.
	Before *owner.Map
	// Holders contains, by index in Before, the data address of the daemon that
	// knows the flows of this former owner now, or the zero value if none does.
	Holders []netip.AddrPort
}

// owns reports whether this daemon is the eligible owner of the slot.
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

// eachFormerOwner calls visit for each change within the period before now that
// moved the slot from an owner other than the current one, newest first, with
// the index of that owner in the earlier map. It stops when visit returns
// false.
func (v *View) eachFormerOwner(slot uint32, now time.Time, period time.Duration, visit func(OwnershipChange, int) bool) {
	current := v.Map.OwnerName(slot)
	for _, c := range v.OwnershipChanges {
		if now.Sub(c.At) > period {
			return
		}
		i := c.Before.Owner(slot)
		if i != owner.NoOwner && c.Before.Members()[i].Name != current && !visit(c, i) {
			return
		}
	}
}

// predecessor returns the data address of the daemon to ask about unknown flows
// of the slot: the most recent former holder other than this daemon.
func (v *View) predecessor(slot uint32, now time.Time) (netip.AddrPort, bool) {
	return v.formerHolder(slot, now, true)
}

// earlierHolder returns the data address of the daemon that held the slot
// before this one did. Each daemon in a chain of queries looks further back, so
// the chain ends. If this daemon never held the slot, because a member with
// another view has sent the query, earlierHolder returns the most recent holder.
func (v *View) earlierHolder(slot uint32, now time.Time) (netip.AddrPort, bool) {
	heldHere := false
	v.eachFormerOwner(slot, now, PredecessorPeriod, func(c OwnershipChange, i int) bool {
		heldHere = c.Holders[i] == v.SelfDataAddr
		return !heldHere
	})
	return v.formerHolder(slot, now, !heldHere)
}

// formerHolder returns the data address of the most recent former holder other
// than this daemon. Unless includeLater is set, it skips those that held the
// slot after this daemon did.
func (v *View) formerHolder(slot uint32, now time.Time, includeLater bool) (netip.AddrPort, bool) {
	var found netip.AddrPort
	v.eachFormerOwner(slot, now, PredecessorPeriod, func(c OwnershipChange, i int) bool {
		switch h := c.Holders[i]; {
		case h == v.SelfDataAddr:
			includeLater = true
		case includeLater:
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
	v.eachFormerOwner(slot, now, SettlingPeriod, func(OwnershipChange, int) bool {
		moved = true
		return false
	})
	return moved
}

// tableView is a snapshot with additional indexes for the packet path.
type tableView struct {
	*tables.Snapshot
	removedAddresses map[tables.Address]struct{}
	removedEndpoints map[netip.AddrPort]struct{}
	removedServers   map[tables.ServerID]netip.AddrPort
	earlierPools     history
	// formerServers holds the servers of earlier pools by endpoint.
	formerServers map[netip.AddrPort]formerServer
}

// formerServer is a backend server together with the routes whose earlier
// pools contained it.
type formerServer struct {
	server *tables.Server
	routes []*tables.Route
}

func newTableView(s *tables.Snapshot, earlier history) *tableView {
	v := &tableView{
		Snapshot:         s,
		earlierPools:     earlier,
		formerServers:    earlier.serversByEndpoint(s),
		removedAddresses: make(map[tables.Address]struct{}),
		removedEndpoints: make(map[netip.AddrPort]struct{}),
		removedServers:   make(map[tables.ServerID]netip.AddrPort),
	}
	for _, r := range s.Reservations() {
		// A reservation without a protocol is the endpoint of a removed server.
		if r.Address.Protocol != 0 {
			v.removedAddresses[r.Address] = struct{}{}
			continue
		}
		v.removedEndpoints[r.Address.AddrPort] = struct{}{}
		v.removedServers[tables.ServerID(r.ID)] = r.Address.AddrPort
	}
	return v
}

// isService reports whether a route has this address, or had it until recently.
func (v *tableView) isService(a tables.Address) bool {
	if _, ok := v.RouteByAddress(a); ok {
		return true
	}
	_, removed := v.removedAddresses[a]
	return removed
}

// isEndpoint reports whether a backend server has this endpoint, or had it
// until recently.
func (v *tableView) isEndpoint(endpoint netip.AddrPort) bool {
	if _, ok := v.ServerByEndpoint(endpoint); ok {
		return true
	}
	_, removed := v.removedEndpoints[endpoint]
	return removed
}

// serverAt returns the server with this endpoint, or nil, and the routes of the
// protocol whose flows may be on it.
func (v *tableView) serverAt(endpoint netip.AddrPort, p tables.Protocol) (*tables.Server, []*tables.Route) {
	former := v.formerServers[endpoint]
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
	endpoint, ok := v.removedServers[id]
	return endpoint, ok
}
