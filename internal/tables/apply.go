package tables

import (
	"maps"
	"slices"
	"time"
)

// Apply returns the next state of the tables. It applies the whole delta or,
// with an error, nothing; s is unchanged. The error is a *VersionError, a
// *HistoryError or an *InvalidError.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	return s.ApplyAll([]Delta{d})
}

// ApplyAll applies all deltas in order or, with an error, none. Rules that do
// not depend on time are checked only for the last state, because each delta
// was checked alone before it was written. Indexing and validating every state
// would take seconds for a full head at the target size.
func (s *Snapshot) ApplyAll(deltas []Delta) (*Snapshot, error) {
	if len(deltas) == 0 {
		return s, nil
	}
	draft := newDraft(s)
	for i, d := range deltas {
		if err := draft.step(d); err != nil {
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

// draft is a state of the tables that deltas are applied to. Pools that no
// operation touches keep sharing their servers with the old snapshot.
type draft struct {
	version      Version
	writeID      WriteID
	nextID       uint32
	routes       map[string]Route
	pools        map[string]Pool
	reservations map[Address]Reservation

	// Of the present step: the touched entries as they were before, and what
	// is wrong.
	oldRoutes map[string]Route
	oldPools  map[string]Pool
	seen      map[Entry]bool
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

// step applies one delta. It returns an error if the operations make no sense;
// broken reservations are left in problems, to be reported with other rules.
func (d *draft) step(delta Delta) error {
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
	d.seen = make(map[Entry]bool)
	for _, op := range delta.Operations {
		d.once(op.Entry())
		op.apply(d)
	}
	if len(d.problems) > 0 {
		return d.problems.err()
	}
	d.settle(delta.Time)
	return nil
}

// once refuses a second operation on one entry: which of them should win would
// depend on their order, and is most likely a mistake.
func (d *draft) once(e Entry) {
	if d.seen[e] {
		d.problems.add(e, RuleEntryChangedTwice, "changed by two operations of one delta")
	}
	d.seen[e] = true
}

// settle gives ids to the new entries, in the order of names and routes first,
// and updates the reservations.
func (d *draft) settle(now time.Time) {
	maps.DeleteFunc(d.reservations, func(_ Address, r Reservation) bool { return !r.Until.After(now) })
	var taken []holder
	for _, name := range slices.Sorted(maps.Keys(d.oldRoutes)) {
		if h, ok := d.settleRoute(name, now); ok {
			taken = append(taken, h)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.oldPools)) {
		taken = append(taken, d.settlePool(name, now)...)
	}
	for _, h := range taken {
		d.take(h, now)
	}
}

// settleRoute returns the route as a holder of its address if it is new there.
func (d *draft) settleRoute(name string, now time.Time) (holder, bool) {
	was, r := d.oldRoutes[name], d.routes[name]
	if was.ID != 0 && was.Address == r.Address {
		r.ID = was.ID
		d.routes[name] = r
		return holder{}, false
	}
	if was.ID != 0 {
		d.reserve(was.Address, uint32(was.ID), was.Name, now)
	}
	if _, exists := d.routes[name]; !exists {
		return holder{}, false
	}
	r.ID = RouteID(d.takeID())
	d.routes[name] = r
	return holder{entry: routeEntry(&r), address: r.Address, service: name}, true
}

// settlePool returns the servers that are new at their endpoints.
func (d *draft) settlePool(name string, now time.Time) []holder {
	kept := make(map[ServerID]bool)
	was := make(map[string]Server)
	for _, srv := range d.oldPools[name].Servers {
		was[srv.Name] = srv
	}
	var taken []holder
	pool := d.pools[name]
	sortServers(pool.Servers)
	for i := range pool.Servers {
		srv := &pool.Servers[i]
		if o, ok := was[srv.Name]; ok && o.Endpoint == srv.Endpoint {
			srv.ID = o.ID
			kept[o.ID] = true
			continue
		}
		srv.ID = ServerID(d.takeID())
		e := serverEntry(ServerRef{Server: srv, Pool: &pool})
		taken = append(taken, holder{entry: e, address: Address{AddrPort: srv.Endpoint}, service: name})
	}
	for _, srv := range d.oldPools[name].Servers {
		if !kept[srv.ID] {
			d.reserve(Address{AddrPort: srv.Endpoint}, uint32(srv.ID), serverOwner(name, srv.Name), now)
		}
	}
	return taken
}

func (d *draft) takeID() uint32 {
	id := d.nextID
	d.nextID++
	return id
}

// snapshot returns the state with its indexes, not validated.
func (d *draft) snapshot() *Snapshot {
	s := &Snapshot{version: d.version, writeID: d.writeID, nextID: d.nextID}
	s.routes = slices.Collect(maps.Values(d.routes))
	s.pools = slices.Collect(maps.Values(d.pools))
	s.reservations = slices.Collect(maps.Values(d.reservations))
	s.sort()
	s.index()
	return s
}

// touchPool remembers a pool as it was before the step, and returns it with
// servers that the draft may change.
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
