package tables

import (
	"slices"
	"strings"
)

// Desired holds the content of both tables as an operator writes it, without
// versions and ids. It is not validated until Apply.
type Desired struct {
	Routes []Route
	Pools  []Pool
}

// Desired returns the content of the snapshot without ids.
func (s *Snapshot) Desired() Desired {
	d := Desired{Routes: slices.Clone(s.routes), Pools: slices.Clone(s.pools)}
	for i := range d.Routes {
		d.Routes[i].ID = 0
	}
	for i := range d.Pools {
		servers := slices.Clone(d.Pools[i].Servers)
		for j := range servers {
			servers[j].ID = 0
		}
		d.Pools[i].Servers = servers
	}
	return d
}

// Sort orders routes, pools and servers by name.
func (d Desired) Sort() {
	slices.SortStableFunc(d.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range d.Pools {
		sortServers(p.Servers)
	}
}
