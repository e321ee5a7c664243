package selection

import (
	"cmp"
	"slices"
	"time"

	"knapweedshore.example/internal/tables"
)

// ServerReport holds the observations of one server, for operators.
type ServerReport struct {
	Pool, Server string
	ID           tables.ServerID
	// Flows is the number of open flows.
	Flows   int
	Ejected bool
	// Utilisation is the mean number of working flows per slot of the server, with
	// exponential decay.
	Utilisation float64
}

// Servers returns a report for every server of the tables, sorted by pool and
// server name.
func (c *Chooser) Servers(now time.Time) []ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.instantOf(now)
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
		Utilisation: rec.busyMean(now) / float64(max(s.Slots, 1)),
	}
}
