package forward

import (
	"net/netip"
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
	// Standing tells whether this daemon may decide about flows. Without
	// standing, Map does not contain it.
	Standing bool
	Map      *owner.Map
	// Data holds the data address of each member, by its index in Map.
	Data []netip.AddrPort
	// Known holds the data addresses of all members that may send packets
	// with a hop option.
	Known map[netip.AddrPort]struct{}
	// Moves holds the ownership changes of the last SettlingPeriod, newest
	// first.
	Moves []Move
}

// Move is one change of the ownership map.
type Move struct {
	At     time.Time
	Before *owner.Map
	// Holders tells, by index in Before, which data address knows the flows of
	// that former owner now; the zero value if none does.
	Holders []netip.AddrPort
}

// owns reports whether this daemon decides about the slot.
func (v *View) owns(slot uint32) bool {
	return v.Standing && v.Map.OwnerName(slot) == v.Self
}

// ownerAddress returns the data address of the slot's owner.
func (v *View) ownerAddress(slot uint32) (netip.AddrPort, bool) {
	i := v.Map.Owner(slot)
	if i == owner.NoOwner {
		return netip.AddrPort{}, false
	}
	return v.Data[i], true
}

// lastMove returns the newest move that changed the owner of the slot.
func (v *View) lastMove(slot uint32, now time.Time, within time.Duration) (Move, int, bool) {
	current := v.Map.OwnerName(slot)
	for _, m := range v.Moves {
		if now.Sub(m.At) > within {
			break
		}
		i := m.Before.Owner(slot)
		if i != owner.NoOwner && m.Before.Members()[i].Name != current {
			return m, i, true
		}
	}
	return Move{}, 0, false
}

// predecessor returns the data address of the daemon that knew the flows of
// the slot before it moved here.
func (v *View) predecessor(slot uint32, now time.Time) (netip.AddrPort, bool) {
	m, i, ok := v.lastMove(slot, now, PredecessorPeriod)
	if !ok || !m.Holders[i].IsValid() {
		return netip.AddrPort{}, false
	}
	return m.Holders[i], true
}

// settling reports whether the slot moved here so recently that an unknown UDP
// flow may be an established one.
func (v *View) settling(slot uint32, now time.Time) bool {
	_, _, ok := v.lastMove(slot, now, SettlingPeriod)
	return ok
}

// tableView is a snapshot with the indexes that only the packet path needs.
type tableView struct {
	*tables.Snapshot
	removedAddress  map[tables.Address]struct{}
	removedEndpoint map[netip.AddrPort]struct{}
	removedServer   map[tables.ServerID]netip.AddrPort
}

func newTableView(s *tables.Snapshot) *tableView {
	v := &tableView{
		Snapshot:        s,
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
	if _, ok := v.RouteFor(a); ok {
		return true
	}
	_, removed := v.removedAddress[a]
	return removed
}

// isEndpoint reports whether a backend server has, or until recently had, this
// endpoint.
func (v *tableView) isEndpoint(endpoint netip.AddrPort) bool {
	if _, ok := v.ServerAt(endpoint); ok {
		return true
	}
	_, removed := v.removedEndpoint[endpoint]
	return removed
}

// endpoint returns the endpoint of a server that is or was in the tables.
func (v *tableView) endpoint(id tables.ServerID) (netip.AddrPort, bool) {
	if ref, ok := v.ServerByID(id); ok {
		return ref.Server.Endpoint, true
	}
	endpoint, ok := v.removedServer[id]
	return endpoint, ok
}
