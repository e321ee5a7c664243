package selection

import "knapweedshore.example/internal/tables"

// index finds the records of one version of the tables. Its maps are
// immutable; the records are guarded by the Chooser's lock and are carried
// over from version to version.
type index struct {
	servers map[tables.ServerID]entry
	pools   map[*tables.Pool]*pool
}

// entry is a server record together with its pool.
type entry struct {
	server *server
	pool   *pool
}

// pool holds the records of one pool in the order of its servers.
type pool struct {
	table   *tables.Pool
	servers []*server
	// delays is reused to find the median response time.
	delays []float64
}

// newIndex builds the index of a snapshot with the records of the previous
// index. A server without a record is cold from now on, unless it belongs to
// the first snapshot.
func newIndex(previous *index, s *tables.Snapshot, now instant) *index {
	next := &index{servers: map[tables.ServerID]entry{}, pools: map[*tables.Pool]*pool{}}
	if s == nil {
		return next
	}
	first := len(previous.pools) == 0
	for i := range s.Pools() {
		t := &s.Pools()[i]
		p := &pool{table: t, servers: make([]*server, len(t.Servers))}
		for j := range t.Servers {
			id := t.Servers[j].ID
			rec := previous.servers[id].server
			if rec == nil {
				rec = newServer(now, first)
			}
			p.servers[j] = rec
			next.servers[id] = entry{server: rec, pool: p}
		}
		next.pools[t] = p
	}
	return next
}
