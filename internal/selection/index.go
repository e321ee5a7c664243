package selection

import "knapweedshore.example/internal/tables"

// index looks up the records for one version of the tables. Its maps are
// immutable. The server records are guarded by the Chooser's lock and are reused
// by the index of the next version.
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

// newIndex builds the index of pools and reuses the server records of the
// previous index. A server without a record begins a slow start, except in the
// first version, because then only this process is new, not the servers.
func newIndex(previous *index, pools []*tables.Pool, now instant) *index {
	next := &index{
		servers: map[tables.ServerID]entry{},
		pools:   make(map[*tables.Pool]*pool, len(pools)),
		byName:  make(map[string]*pool, len(pools)),
	}
	firstVersion := previous == nil || len(previous.pools) == 0
	for _, t := range pools {
		p := &pool{table: t, servers: make([]*server, len(t.Servers)), tunedAt: now}
		for j := range t.Servers {
			id := t.Servers[j].ID
			var rec *server
			if previous != nil {
				rec = previous.servers[id].server
			}
			if rec == nil {
				rec = newServer(now, firstVersion)
			}
			p.servers[j] = rec
			next.servers[id] = entry{server: rec, pool: p}
		}
		next.pools[t] = p
		next.byName[t.Name] = p
	}
	return next
}

// copyObservations copies the measurements of each pool from the pool of the
// same name in the previous index. The caller must hold the Chooser's lock.
func (x *index) copyObservations(previous *index) {
	for name, p := range x.byName {
		if old, ok := previous.byName[name]; ok {
			p.opened, p.utilisation, p.tunedAt = old.opened, old.utilisation, old.tunedAt
		}
	}
}
