package selection

import "knapweedshore.example/internal/tables"

// index finds the records of one version of the tables. Its maps are
// immutable; the records are guarded by the Chooser's lock and are carried
// over from version to version.
type index struct {
	servers map[tables.ServerID]entry
	pools   map[*tables.Pool]*pool
	byName  map[string]*pool
}

// entry is a server record together with its pool.
type entry struct {
	server *server
	pool   *pool
}

// newIndex builds the index of pools with the records of the previous index. A
// server without a record is cold from now on, unless it belongs to the first
// version, where only this process is new.
func newIndex(previous *index, pools []*tables.Pool, now instant) *index {
	next := &index{
		servers: map[tables.ServerID]entry{},
		pools:   make(map[*tables.Pool]*pool, len(pools)),
		byName:  make(map[string]*pool, len(pools)),
	}
	first := previous == nil || len(previous.pools) == 0
	for _, t := range pools {
		p := &pool{table: t, servers: make([]*server, len(t.Servers)), tunedAt: now}
		for j := range t.Servers {
			id := t.Servers[j].ID
			var rec *server
			if previous != nil {
				rec = previous.servers[id].server
			}
			if rec == nil {
				rec = newServer(now, first)
			}
			p.servers[j] = rec
			next.servers[id] = entry{server: rec, pool: p}
		}
		next.pools[t] = p
		next.byName[t.Name] = p
	}
	return next
}

// inherit takes over what was measured of the pools of the previous index. The
// caller holds the Chooser's lock.
func (x *index) inherit(previous *index) {
	for name, p := range x.byName {
		if old, ok := previous.byName[name]; ok {
			p.opened, p.utilisation, p.tunedAt = old.opened, old.utilisation, old.tunedAt
		}
	}
}
