package evidence

import (
	"net/netip"
	"time"
)

// Source is one kind of evidence. Its methods are safe for concurrent use.
type Source interface {
	// AddTo adds the source's evidence to a report. ownZone reports whether the report
	// goes to daemons of the own zone.
	AddTo(r *Report, ownZone bool, now time.Time)
	// Record merges the evidence in a peer's report, which was sent at most a network
	// delay before sentAt.
	Record(from Peer, r Report, sentAt time.Time)
}

// Peer is the sender of a report.
type Peer struct {
	Addr netip.Addr
	Zone string
}

// Pool distributes reports to the kinds of evidence.
type Pool struct{ sources []Source }

// NewPool returns a Pool of the given kinds of evidence.
func NewPool(sources ...Source) *Pool { return &Pool{sources} }

// Report returns the evidence for a report to daemons of the own zone or of other zones.
func (p *Pool) Report(ownZone bool, now time.Time) Report {
	var r Report
	for _, s := range p.sources {
		s.AddTo(&r, ownZone, now)
	}
	return r
}

// Record merges the evidence in a peer's report.
func (p *Pool) Record(from Peer, r Report, sentAt time.Time) {
	for _, s := range p.sources {
		s.Record(from, r, sentAt)
	}
}
