package selection

import (
	"cmp"
	"slices"
	"time"

	"knapweedshore.example/internal/tables"
)

// ServerReport is what a Chooser has observed of one server, for operators.
type ServerReport struct {
	Pool, Server string
	ID           tables.ServerID
	// Flows are the open connections.
	Flows   int
	Ejected bool
	// Utilisation is the decaying mean of busy flows for each slot.
	Utilisation float64
}

// Servers reports every server of the tables, by pool and name.
func (c *Chooser) Servers(now time.Time) []ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.at(now)
	var out []ServerReport
	for _, p := range c.index.pools {
		for i, rec := range p.servers {
			out = append(out, p.report(&p.table.Servers[i], rec, at))
		}
	}
	slices.SortFunc(out, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Server, b.Server))
	})
	return out
}

func (p *pool) report(s *tables.Server, rec *server, now instant) ServerReport {
	return ServerReport{
		Pool: p.table.Name, Server: s.Name, ID: s.ID,
		Flows: rec.flows, Ejected: rec.ejected(now),
		Utilisation: rec.busyNow(now) / float64(max(s.Slots, 1)),
	}
}
