package tables

import (
	"maps"
	"slices"
	"time"
)

// Apply returns a new snapshot with the delta applied; s is unchanged. The error
// is a *VersionError, a *HistoryError or an *InvalidError.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	return s.ApplyAll([]Delta{d})
}

// ApplyAll returns a new snapshot with the deltas applied in order; s is
// unchanged. Rules that do not depend on time are checked only for the result,
// because each delta was validated before it was written. Indexing and
// validating every intermediate state would take seconds for a full head of
// large tables (2700 routes, 4800 servers).
func (s *Snapshot) ApplyAll(deltas []Delta) (*Snapshot, error) {
	if len(deltas) == 0 {
		return s, nil
	}
	draft := newDraft(s)
	for i, d := range deltas {
		if err := draft.applyDelta(d); err != nil {
			return nil, err
		}
		if i < len(deltas)-1 && len(draft.problems) > 0 {
			return nil, draft.problems.err()
		}
	}
	next := draft.snapshot()
	if err := append(draft.problems, next.validate()...).err(); err != nil {
		return nil, err
	}
	return next, nil
}

// draft is a mutable copy of a snapshot that deltas are applied to. Pools that
// no operation changes share their slice of servers with the old snapshot.
type draft struct {
	version      Version
	writeID      WriteID
	nextID       uint32
	routes       map[string]Route
	pools        map[string]Pool
	reservations map[Address]Reservation

	// State of the delta that is being applied: the changed routes and pools as
	// they were before it, the entries that its operations changed, and the
	// problems found.
	oldRoutes map[string]Route
	oldPools  map[string]Pool
	changed   map[Entry]bool
	problems  problems
}

func newDraft(s *Snapshot) *draft {
	d := &draft{
		version:      s.version,
		writeID:      s.writeID,
		nextID:       s.nextID,
		routes:       make(map[string]Route, len(s.routes)),
		pools:        make(map[string]Pool, len(s.pools)),
		reservations: make(map[Address]Reservation, len(s.reservations)),
	}
	for _, r := range s.routes {
		d.routes[r.Name] = r
	}
	for _, p := range s.pools {
		d.pools[p.Name] = p
	}
	for _, r := range s.reservations {
		d.reservations[r.Address] = r
	}
	return d
}

// applyDelta applies one delta. It returns an error if the delta or one of its
// operations is invalid. Violated reservations are only added to problems, so
// that they are reported together with the violations of other rules.
func (d *draft) applyDelta(delta Delta) error {
	if delta.Version != d.version+1 {
		return &VersionError{Current: d.version, Delta: delta.Version}
	}
	if delta.Previous != "" && d.writeID != "" && delta.Previous != d.writeID {
		return &HistoryError{Version: d.version, Have: d.writeID, Want: delta.Previous}
	}
	delta.Time = roundTime(delta.Time)
	if p := delta.check(); len(p) > 0 {
		return p.err()
	}
	d.version, d.writeID = delta.Version, delta.WriteID
	d.oldRoutes, d.oldPools = make(map[string]Route), make(map[string]Pool)
	d.changed = make(map[Entry]bool)
	for _, op := range delta.Operations {
		d.checkChangedOnce(op.Entry())
		op.apply(d)
	}
	if len(d.problems) > 0 {
		return d.problems.err()
	}
	d.updateIDs(delta.Time)
	return nil
}

// checkChangedOnce adds a problem if the delta already changed the entry. The
// result would depend on the order of the operations, which is most likely a
// mistake.
func (d *draft) checkChangedOnce(e Entry) {
	if d.changed[e] {
		d.problems.add(e, RuleEntryChangedTwice, "changed by two operations of one delta")
	}
	d.changed[e] = true
}

// updateIDs assigns ids to new entries, first to routes and then to servers, each
// ordered by name, and updates the reservations. The order is fixed so that every
// daemon computes the same ids.
func (d *draft) updateIDs(now time.Time) {
	maps.DeleteFunc(d.reservations, func(_ Address, r Reservation) bool { return !r.Until.After(now) })
	var claims []claim
	for _, name := range slices.Sorted(maps.Keys(d.oldRoutes)) {
		if c, ok := d.updateRouteID(name, now); ok {
			claims = append(claims, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.oldPools)) {
		claims = append(claims, d.updateServerIDs(name, now)...)
	}
	for _, c := range claims {
		d.checkClaim(c, now)
	}
}

// updateRouteID keeps the route's id if its address is unchanged. Otherwise it
// reserves the old address and, unless the route was deleted, assigns a new id and
// returns a claim on the new address.
func (d *draft) updateRouteID(name string, now time.Time) (claim, bool) {
	old, r := d.oldRoutes[name], d.routes[name]
	if old.ID != 0 && old.Address == r.Address {
		r.ID = old.ID
		d.routes[name] = r
		return claim{}, false
	}
	if old.ID != 0 {
		d.reserve(old.Address, uint32(old.ID), old.Name, now)
	}
	if _, exists := d.routes[name]; !exists {
		return claim{}, false
	}
	r.ID = RouteID(d.allocateID())
	d.routes[name] = r
	return claim{entry: routeEntry(&r), address: r.Address, service: name}, true
}

// updateServerIDs keeps the ids of the pool's servers whose endpoint is unchanged
// and assigns new ids to the others, for which it returns claims. It reserves the
// endpoints of removed servers and the old endpoints of changed ones.
func (d *draft) updateServerIDs(name string, now time.Time) []claim {
	kept := make(map[ServerID]bool)
	oldServers := make(map[string]Server)
	for _, srv := range d.oldPools[name].Servers {
		oldServers[srv.Name] = srv
	}
	var claims []claim
	pool := d.pools[name]
	sortServers(pool.Servers)
	for i := range pool.Servers {
		srv := &pool.Servers[i]
		if old, ok := oldServers[srv.Name]; ok && old.Endpoint == srv.Endpoint {
			srv.ID = old.ID
			kept[old.ID] = true
			continue
		}
		srv.ID = ServerID(d.allocateID())
		e := serverEntry(ServerRef{Server: srv, Pool: &pool})
		claims = append(claims, claim{entry: e, address: Address{AddrPort: srv.Endpoint}, service: name})
	}
	for _, srv := range d.oldPools[name].Servers {
		if !kept[srv.ID] {
			d.reserve(Address{AddrPort: srv.Endpoint}, uint32(srv.ID), serverOwner(name, srv.Name), now)
		}
	}
	return claims
}

// allocateID returns the next unused id.
func (d *draft) allocateID() uint32 {
	id := d.nextID
	d.nextID++
	return id
}

// snapshot returns the draft as an indexed snapshot without validating it.
func (d *draft) snapshot() *Snapshot {
	s := &Snapshot{version: d.version, writeID: d.writeID, nextID: d.nextID}
	s.routes = slices.Collect(maps.Values(d.routes))
	s.pools = slices.Collect(maps.Values(d.pools))
	s.reservations = slices.Collect(maps.Values(d.reservations))
	s.sort()
	s.index()
	return s
}

// touchPool records the pool as it was before the delta and returns a copy whose
// servers may be changed. It reports whether the pool exists.
func (d *draft) touchPool(name string) (Pool, bool) {
	p, ok := d.pools[name]
	if _, touched := d.oldPools[name]; !touched {
		d.oldPools[name] = p
		p.Servers = slices.Clone(p.Servers)
		if ok {
			d.pools[name] = p
		}
	}
	return p, ok
}

// touchRoute records the route as it was before the delta and reports whether it
// exists.
func (d *draft) touchRoute(name string) bool {
	r, ok := d.routes[name]
	if _, touched := d.oldRoutes[name]; !touched {
		d.oldRoutes[name] = r
	}
	return ok
}

func (o PutRoute) apply(d *draft) {
	d.touchRoute(o.Name)
	d.routes[o.Name] = Route{Name: o.Name, Address: o.Address, Pool: o.Pool}
}

func (o DeleteRoute) apply(d *draft) {
	if !d.touchRoute(o.Name) {
		d.problems.add(o.Entry(), RuleEntryMissing, "does not exist")
	}
	delete(d.routes, o.Name)
}

func (o PutPool) apply(d *draft) {
	d.touchPool(o.Name)
	d.pools[o.Name] = Pool{Name: o.Name, Servers: fillDefaults(slices.Clone(o.Servers))}
}

func (o DeletePool) apply(d *draft) {
	if _, ok := d.touchPool(o.Name); !ok {
		d.problems.add(o.Entry(), RuleEntryMissing, "does not exist")
	}
	delete(d.pools, o.Name)
}

func (o PutServer) apply(d *draft) {
	p, ok := d.touchPool(o.Pool)
	if !ok {
		d.problems.add(o.Entry(), RulePoolMissing, "pool %q does not exist", o.Pool)
		return
	}
	srv := o.Server.WithDefaults()
	if i := findServer(p.Servers, srv.Name); i >= 0 {
		p.Servers[i] = srv
	} else {
		p.Servers = append(p.Servers, srv)
	}
	d.pools[o.Pool] = p
}

func (o DeleteServer) apply(d *draft) {
	p, ok := d.touchPool(o.Pool)
	i := findServer(p.Servers, o.Name)
	if !ok || i < 0 {
		d.problems.add(o.Entry(), RuleEntryMissing, "does not exist")
		return
	}
	p.Servers = slices.Delete(p.Servers, i, i+1)
	d.pools[o.Pool] = p
}

func findServer(servers []Server, name string) int {
	return slices.IndexFunc(servers, func(s Server) bool { return s.Name == name })
}
