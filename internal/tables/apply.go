package tables

import (
	"maps"
	"slices"
)

// Apply returns the next state of the tables. It applies the whole delta or,
// with an error, nothing; s is unchanged. The error is a *VersionError or an
// *InvalidError.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	if d.Version != s.version+1 {
		return nil, &VersionError{Current: s.version, Delta: d.Version}
	}
	d.Time = roundTime(d.Time)
	if p := d.check(); len(p) > 0 {
		return nil, p.err()
	}
	draft := newDraft(s)
	for _, op := range d.Operations {
		draft.once(op.Entry())
		op.apply(draft)
	}
	if len(draft.problems) > 0 {
		return nil, draft.problems.err()
	}
	next := draft.build()
	next.assignIDs()
	next.index()
	found := next.reserve(s, d.Time)
	found = append(found, next.validate()...)
	if len(found) > 0 {
		return nil, found.err()
	}
	return next, nil
}

// draft is a snapshot while operations are applied to it. Pools that no
// operation touches keep sharing their servers with the old snapshot.
type draft struct {
	old      *Snapshot
	routes   map[string]Route
	pools    map[string]Pool
	owned    map[string]bool // pools whose servers were copied
	seen     map[Entry]bool
	problems problems
}

func newDraft(s *Snapshot) *draft {
	d := &draft{
		old:    s,
		routes: make(map[string]Route, len(s.routes)),
		pools:  make(map[string]Pool, len(s.pools)),
		owned:  make(map[string]bool),
		seen:   make(map[Entry]bool),
	}
	for _, r := range s.routes {
		d.routes[r.Name] = r
	}
	for _, p := range s.pools {
		d.pools[p.Name] = p
	}
	return d
}

// once refuses a second operation on one entry: which of them should win would
// depend on their order, and is most likely a mistake.
func (d *draft) once(e Entry) {
	if d.seen[e] {
		d.problems.add(e, RuleEntryTwice, "changed by two operations of one delta")
	}
	d.seen[e] = true
}

// build sorts the entries and clears the ids of those that are new.
func (d *draft) build() *Snapshot {
	next := &Snapshot{version: d.old.version + 1, nextID: d.old.nextID}
	next.routes = slices.Collect(maps.Values(d.routes))
	next.pools = slices.Collect(maps.Values(d.pools))
	for i, r := range next.routes {
		next.routes[i].ID = 0
		if was, ok := d.old.Route(r.Name); ok && was.Address == r.Address {
			next.routes[i].ID = was.ID
		}
	}
	for i, p := range next.pools {
		if d.owned[p.Name] {
			next.pools[i].Servers = d.keepIDs(p)
		}
	}
	next.sort()
	return next
}

// keepIDs gives the servers that keep name and endpoint their old id.
func (d *draft) keepIDs(p Pool) []Server {
	was := make(map[string]Server)
	if old, ok := d.old.Pool(p.Name); ok {
		for _, srv := range old.Servers {
			was[srv.Name] = srv
		}
	}
	servers := slices.Clone(p.Servers)
	for i, srv := range servers {
		servers[i].ID = 0
		if o, ok := was[srv.Name]; ok && o.Endpoint == srv.Endpoint {
			servers[i].ID = o.ID
		}
	}
	sortServers(servers)
	return servers
}

// own returns the pool with servers that the draft may change.
func (d *draft) own(p Pool) Pool {
	if !d.owned[p.Name] {
		d.owned[p.Name] = true
		p.Servers = slices.Clone(p.Servers)
	}
	return p
}

func (o PutRoute) apply(d *draft) {
	d.routes[o.Name] = Route{Name: o.Name, Address: o.Address, Pool: o.Pool}
}

func (o DeleteRoute) apply(d *draft) {
	if _, ok := d.routes[o.Name]; !ok {
		d.problems.add(o.Entry(), RuleEntryMissing, "does not exist")
	}
	delete(d.routes, o.Name)
}

func (o PutPool) apply(d *draft) {
	d.owned[o.Name] = true
	d.pools[o.Name] = Pool{Name: o.Name, Servers: fillDefaults(slices.Clone(o.Servers))}
}

func (o DeletePool) apply(d *draft) {
	if _, ok := d.pools[o.Name]; !ok {
		d.problems.add(o.Entry(), RuleEntryMissing, "does not exist")
	}
	delete(d.pools, o.Name)
}

func (o PutServer) apply(d *draft) {
	p, ok := d.pools[o.Pool]
	if !ok {
		d.problems.add(o.Entry(), RulePoolMissing, "pool %q does not exist", o.Pool)
		return
	}
	p = d.own(p)
	srv := o.Server.WithDefaults()
	if i := findServer(p.Servers, srv.Name); i >= 0 {
		p.Servers[i] = srv
	} else {
		p.Servers = append(p.Servers, srv)
	}
	d.pools[o.Pool] = p
}

func (o DeleteServer) apply(d *draft) {
	p, ok := d.pools[o.Pool]
	i := findServer(p.Servers, o.Name)
	if !ok || i < 0 {
		d.problems.add(o.Entry(), RuleEntryMissing, "does not exist")
		return
	}
	p = d.own(p)
	p.Servers = slices.Delete(p.Servers, i, i+1)
	d.pools[o.Pool] = p
}

func findServer(servers []Server, name string) int {
	return slices.IndexFunc(servers, func(s Server) bool { return s.Name == name })
}
