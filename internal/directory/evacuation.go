package directory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxEvacuations limits the number of evacuated zones. Those beyond it that have no servers
// are refused.
const maxEvacuations = 256

// Evacuation is the operators' request to send nothing new to the servers of an availability
// zone. Packets of open flows are still forwarded to them.
type Evacuation struct {
	Zone string
	// Position is where the store states the request.
	Position Position
	// Since is when a daemon first read the request from the store.
	Since time.Time
	// Lost is set if the store was restored and lacks the request. It holds until it is
	// written again and removed.
	Lost bool
}

// Evacuated reports whether a zone is evacuated.
func (d *Directory) Evacuated(zone string) bool { return d.evacuations[zone] != nil }

// Evacuations returns the evacuations in the order of their zones.
func (d *Directory) Evacuations() []Evacuation {
	out := make([]Evacuation, 0, len(d.evacuations))
	for _, e := range d.evacuations {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// PoolEvacuated reports whether a pool has no candidates because all of its servers that
// would take new flows are in evacuated zones.
func (d *Directory) PoolEvacuated(pool string) bool {
	return len(d.pools[pool]) == 0 && d.evacuatedPools[pool]
}

// ServersIn returns the number of servers of a zone that are not retired.
func (d *Directory) ServersIn(zone string) int {
	n := 0
	for _, s := range d.byCookie {
		if s.Zone == zone && !s.Retired {
			n++
		}
	}
	return n
}

// evacuate starts an evacuation, or replaces that of the same zone, which directories may
// share.
func (b *Builder) evacuate(e Evacuation) {
	if known := b.evacuations[e.Zone]; known != nil {
		e.Since = known.Since
	}
	b.evacuations[e.Zone] = &e
}

// limitEvacuations drops evacuations beyond maxEvacuations: those of zones without servers
// that were written last. It returns them as refused.
func (b *Builder) limitEvacuations() []Refusal {
	excess := len(b.evacuations) - maxEvacuations
	if excess <= 0 {
		return nil
	}
	used := map[string]bool{}
	for _, s := range b.servers {
		used[s.Zone] = true
	}
	unused := slices.SortedFunc(maps.Values(b.evacuations), func(x, y *Evacuation) int {
		return cmp.Or(y.Position.Compare(x.Position), strings.Compare(x.Zone, y.Zone))
	})
	unused = slices.DeleteFunc(unused, func(e *Evacuation) bool { return used[e.Zone] })
	var refused []Refusal
	for _, e := range unused[:min(excess, len(unused))] {
		delete(b.evacuations, e.Zone)
		refused = append(refused, Refusal{Revision: e.Position.Revision, Subject: e.Zone, Reason: ReasonTooManyEvacuations})
	}
	return refused
}
