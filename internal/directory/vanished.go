package directory

import (
	"net/netip"
	"sync"
)

// derived holds what is computed from a Directory when it is first asked for.
type derived struct {
	once      sync.Once
	vanished  []*Server
	latest    map[netip.AddrPort]*Server
	poolSizes map[string]int
}

func (d *Directory) derive() *derived {
	x := &d.derived
	x.once.Do(func() {
		x.latest, x.poolSizes = map[netip.AddrPort]*Server{}, map[string]int{}
		for _, s := range d.byCookie {
			if !s.Retired {
				x.poolSizes[s.Pool]++
			}
			if s.Vanished() {
				x.vanished = append(x.vanished, s)
				continue
			}
			if l := x.latest[s.Endpoint]; l == nil || s.Started > l.Started {
				x.latest[s.Endpoint] = s
			}
		}
	})
	return x
}

// Vanished reports whether the server's registration has expired or was deleted. One that a
// restored store has lost does not count before the server is retired.
func (s *Server) Vanished() bool {
	return !s.MissingSince.IsZero() && (s.Retired || !s.LostByRestore)
}

// Vanished returns the servers whose registrations have vanished. The slice must not be
// modified.
func (d *Directory) Vanished() []*Server { return d.derive().vanished }

// Successor returns the registered server that started later than s at its address, or nil.
func (d *Directory) Successor(s *Server) *Server {
	next := d.derive().latest[s.Endpoint]
	if next == nil || next.Name == s.Name || s.Started == 0 || next.Started <= s.Started {
		return nil
	}
	return next
}

// PoolSize returns the number of servers of a pool that are not retired.
func (d *Directory) PoolSize(pool string) int { return d.derive().poolSizes[pool] }
