package forward

import (
	"net/netip"
	"slices"

	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
)

// maxHistory is the maximum number of earlier pools kept for a route. Several
// changes of one pool during the life of a flow are rare, and each earlier pool
// costs an unknown TCP flow one retransmission to try.
const maxHistory = 4

// history holds the pools that routes had in earlier versions, newest first. An
// owner that takes over a slot needs them to find the server of a flow if the
// tables change at the same time.
type history map[tables.RouteID][]*tables.Pool

// next returns the history after the tables change from old to current.
func (h history) next(old, current *tables.Snapshot) history {
	changed := changedRoutes(old, current)
	if len(changed) == 0 && h != nil {
		return h
	}
	out := make(history)
	for i := range current.Routes() {
		r := &current.Routes()[i]
		earlier := h[r.ID]
		if _, ok := changed[r.ID]; ok {
			earlier = prependPool(earlier, old, r.ID)
		}
		if len(earlier) > 0 {
			out[r.ID] = earlier
		}
	}
	return out
}

// prependPool adds a copy of the pool that the route had in the old version.
func prependPool(earlier []*tables.Pool, old *tables.Snapshot, id tables.RouteID) []*tables.Pool {
	route, ok := old.RouteByID(id)
	if !ok {
		return earlier
	}
	pool, ok := old.Pool(route.Pool)
	if !ok {
		return earlier
	}
	// A reference to the pool would keep all of the old version in memory.
	copied := &tables.Pool{Name: pool.Name, Servers: slices.Clone(pool.Servers)}
	return append([]*tables.Pool{copied}, earlier[:min(len(earlier), maxHistory-1)]...)
}

// serversByEndpoint returns the servers of all earlier pools by endpoint, each
// with the routes of the current version whose pools contained it. Of several
// servers that a route had at one endpoint, it returns the newest.
func (h history) serversByEndpoint(current *tables.Snapshot) map[netip.AddrPort]formerServer {
	out := make(map[netip.AddrPort]formerServer)
	for id, pools := range h {
		route, ok := current.RouteByID(id)
		if !ok {
			continue
		}
		for _, p := range pools {
			for i := range p.Servers {
				s := &p.Servers[i]
				f := out[s.Endpoint]
				if f.server == nil {
					f.server = s
				}
				f.routes = append(f.routes, route)
				out[s.Endpoint] = f
			}
		}
	}
	return out
}

// routeAndPool returns a route of the current version and its pool.
func (v *tableView) routeAndPool(id tables.RouteID) (*tables.Route, *tables.Pool, bool) {
	route, ok := v.RouteByID(id)
	if !ok {
		return nil, nil, false
	}
	pool, ok := v.Pool(route.Pool)
	return route, pool, ok
}

// poolsOf returns the current and the earlier pools of a route, newest first.
func (v *tableView) poolsOf(id tables.RouteID, current *tables.Pool) []*tables.Pool {
	return append([]*tables.Pool{current}, v.earlierPools[id]...)
}

// defaultServer returns the default server of a flow. The candidates are its
// distinct default servers in the current and the earlier pools of the route,
// newest first. defaultServer returns the first one if after is 0, or else the
// one that follows the server with the id after, if any.
func (v *tableView) defaultServer(fp uint64, route *tables.Route, pool *tables.Pool, after tables.ServerID) (*tables.Server, bool) {
	var candidates []*tables.Server
	for _, p := range v.poolsOf(route.ID, pool) {
		s, ok := selection.Default(fp, p)
		if ok && !slices.ContainsFunc(candidates, func(c *tables.Server) bool { return c.ID == s.ID }) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	if after == 0 {
		return candidates[0], true
	}
	i := slices.IndexFunc(candidates, func(c *tables.Server) bool { return c.ID == after })
	if i < 0 || i+1 == len(candidates) {
		return nil, false
	}
	return candidates[i+1], true
}
