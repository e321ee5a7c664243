package entry

import (
	"time"

	"knapweedshore.example/internal/admission"
	"knapweedshore.example/internal/directory"
)

// fleet tells the admission about the other daemons.
type fleet struct{ daemon *Daemon }

var _ admission.Fleet = fleet{}

// Daemons implements admission.Fleet.
func (f fleet) Daemons(now time.Time) int {
	_, live := f.daemon.table.PeerCounts(now)
	return live + 1
}

// Occupancy implements admission.Fleet.
func (f fleet) Occupancy(servers []*directory.Server, now time.Time) admission.Occupancy {
	o := f.daemon.placer.Occupancy(servers, now)
	return admission.Occupancy{InProgress: o.InProgress, Daemons: o.Daemons, Slots: o.Slots}
}
