package tables

import (
	"fmt"
	"strings"
)

// Diff returns the operations that turn current into desired. Deletions of routes
// and pools come first, then changes of pools and their servers, then routes.
func Diff(current *Snapshot, desired Desired) []Operation {
	var ops []Operation
	routes, pools := make(map[string]bool), make(map[string]bool)
	for _, r := range desired.Routes {
		routes[r.Name] = true
	}
	for _, p := range desired.Pools {
		pools[p.Name] = true
	}
	for _, r := range current.routes {
		if !routes[r.Name] {
			ops = append(ops, DeleteRoute{Name: r.Name})
		}
	}
	for _, p := range current.pools {
		if !pools[p.Name] {
			ops = append(ops, DeletePool{Name: p.Name})
		}
	}
	for _, p := range desired.Pools {
		ops = append(ops, diffPool(current, p)...)
	}
	return append(ops, diffRoutes(current, desired.Routes)...)
}

func diffRoutes(current *Snapshot, desired []Route) []Operation {
	var ops []Operation
	for _, r := range desired {
		old, ok := current.Route(r.Name)
		if !ok || old.Address != r.Address || old.Pool != r.Pool {
			ops = append(ops, PutRoute{Name: r.Name, Address: r.Address, Pool: r.Pool})
		}
	}
	return ops
}

func diffPool(current *Snapshot, desired Pool) []Operation {
	old, ok := current.Pool(desired.Name)
	if !ok {
		return []Operation{PutPool(desired)}
	}
	have := make(map[string]Server, len(old.Servers))
	for _, srv := range old.Servers {
		srv.ID = 0
		have[srv.Name] = srv
	}
	var puts, deletes []Operation
	want := make(map[string]bool, len(desired.Servers))
	for _, srv := range desired.Servers {
		srv.ID = 0
		want[srv.Name] = true
		if h, ok := have[srv.Name]; !ok || h != srv.WithDefaults() {
			puts = append(puts, PutServer{Pool: desired.Name, Server: srv})
		}
	}
	for _, srv := range old.Servers {
		if !want[srv.Name] {
			deletes = append(deletes, DeleteServer{Pool: desired.Name, Name: srv.Name})
		}
	}
	return append(deletes, puts...)
}

// DescribeChange describes the effect of the operations on current with one line
// for each changed entry. A line starts with "+" if the entry is added, "-" if it
// is removed, and "~" if it is modified.
func DescribeChange(current *Snapshot, ops []Operation) string {
	var b strings.Builder
	for _, op := range ops {
		describe(&b, current, op)
	}
	return b.String()
}

func describe(b *strings.Builder, s *Snapshot, op Operation) {
	switch o := op.(type) {
	case PutRoute:
		describePut(b, o.Entry(), s.describeRoute(o.Name), routeSettings(o.Address, o.Pool))
	case PutServer:
		describePut(b, o.Entry(), s.describeServer(o.Pool, o.Server.Name), o.Server.WithDefaults().Settings())
	case PutPool:
		describePutPool(b, s, o)
	case DeleteRoute:
		fmt.Fprintf(b, "- %s %s\n", o.Entry(), s.describeRoute(o.Name))
	case DeleteServer:
		fmt.Fprintf(b, "- %s %s\n", o.Entry(), s.describeServer(o.Pool, o.Name))
	case DeletePool:
		fmt.Fprintf(b, "- %s\n", o.Entry())
		if p, ok := s.Pool(o.Name); ok {
			for _, srv := range p.Servers {
				describe(b, s, DeleteServer{Pool: o.Name, Name: srv.Name})
			}
		}
	}
}

// describePutPool describes a new pool with its servers, or only the servers that
// differ if the pool exists.
func describePutPool(b *strings.Builder, s *Snapshot, o PutPool) {
	if _, ok := s.Pool(o.Name); ok {
		for _, op := range diffPool(s, Pool(o)) {
			describe(b, s, op)
		}
		return
	}
	fmt.Fprintf(b, "+ %s\n", o.Entry())
	for _, srv := range o.Servers {
		describe(b, s, PutServer{Pool: o.Name, Server: srv})
	}
}

// describePut describes an added or modified entry by its settings; before is
// empty if the entry is new.
func describePut(b *strings.Builder, e Entry, before, after string) {
	switch {
	case before == "":
		fmt.Fprintf(b, "+ %s %s\n", e, after)
	case before != after:
		fmt.Fprintf(b, "~ %s %s -> %s\n", e, before, after)
	}
}

func routeSettings(a Address, pool string) string {
	return fmt.Sprintf("address=%s pool=%s", a, pool)
}

// describeRoute returns the settings of a route, or "" if it does not exist.
func (s *Snapshot) describeRoute(name string) string {
	r, ok := s.Route(name)
	if !ok {
		return ""
	}
	return routeSettings(r.Address, r.Pool)
}

// describeServer returns the settings of a server, or "" if it does not exist.
func (s *Snapshot) describeServer(pool, name string) string {
	srv, ok := s.Server(pool, name)
	if !ok {
		return ""
	}
	return srv.Settings()
}

// Describe returns the settings of an entry, or "" if it does not exist. An entry
// is the same in two snapshots if their descriptions of it are equal.
func (s *Snapshot) Describe(e Entry) string {
	switch e.Kind {
	case RouteEntry:
		return s.describeRoute(e.Name)
	case ServerEntry:
		return s.describeServer(e.Pool, e.Name)
	case PoolEntry:
		p, ok := s.Pool(e.Name)
		if !ok {
			return ""
		}
		lines := []string{fmt.Sprintf("servers=%d", len(p.Servers))}
		for _, srv := range p.Servers {
			lines = append(lines, srv.Name+"="+srv.Settings())
		}
		return strings.Join(lines, "\n")
	}
	return ""
}
