package placement

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// Times of suspicion.
const (
	// AcceptTimeout is how long a server may take to accept a flow. It does so
	// in its network stack, within two round trips.
	AcceptTimeout = 80 * time.Millisecond
	// firstSuspicion and longestSuspicion bound for how long a server that has
	// not answered is avoided; the time doubles with each failed trial.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
)

// AvoidanceChange reports that a server or a zone is avoided, or is not any more.
type AvoidanceChange struct {
	// Server is set for a server, Zone for a zone.
	Server directory.Cookie
	Zone   string
	// Avoided tells whether new flows go elsewhere, and For how long at least.
	Avoided     bool
	MinDuration time.Duration
}

// OnAvoidanceChange sets what is told about servers and zones that are avoided. Call it
// before the first flow; it is called with the Placer's lock held.
func (p *Placer) OnAvoidanceChange(fn func(AvoidanceChange)) { p.onBelief = fn }

func (p *Placer) zoneSilence(zone string) *silence {
	z := p.zones[zone]
	if z == nil {
		z = &silence{}
		p.zones[zone] = z
	}
	return z
}

func (p *Placer) serverAvoided(c directory.Cookie, rec *server, now time.Time) bool {
	avoided, began := rec.suspected(now)
	if began {
		p.onBelief(AvoidanceChange{Server: c, Avoided: true, MinDuration: rec.lasting})
	}
	return avoided || rec.suspectedBy > 0 && now.Sub(rec.heard) > ownEvidence
}

func (p *Placer) zoneAvoided(zone string, now time.Time) bool {
	z := p.zoneSilence(zone)
	avoided, began := z.suspected(now)
	if began {
		p.onBelief(AvoidanceChange{Zone: zone, Avoided: true, MinDuration: z.lasting})
	}
	cut := p.unreachable(zone, now)
	if cut != p.cutOff[zone] {
		p.cutOff[zone] = cut
		p.onBelief(AvoidanceChange{Zone: zone, Avoided: cut})
	}
	return avoided || cut
}

// silence tells whether a server or a zone has stopped answering: flows were
// opened to it and none was accepted since.
type silence struct {
	// waiting is when the first flow that is still unanswered was opened; zero
	// if none is.
	waiting time.Time
	// until ends the present suspicion, lasting its length.
	until   time.Time
	lasting time.Duration
}

// waitFor notes a flow that was opened.
func (s *silence) waitFor(now time.Time) {
	if s.waiting.IsZero() {
		s.waiting = now
	}
}

// answer notes that something was heard. It reports whether that ends a
// suspicion.
func (s *silence) answer() (ended bool) {
	ended = s.lasting > 0
	*s = silence{}
	return ended
}

// suspected reports whether to avoid the server or zone, and whether that begins
// now. When a suspicion ends, one flow is let through as a trial; if that is not
// answered either, the next suspicion lasts twice as long.
func (s *silence) suspected(now time.Time) (avoid, began bool) {
	if now.Before(s.until) {
		return true, false
	}
	if s.waiting.IsZero() || now.Sub(s.waiting) < AcceptTimeout {
		return false, false
	}
	s.lasting = min(longestSuspicion, max(firstSuspicion, 2*s.lasting))
	s.until = now.Add(s.lasting)
	s.waiting = time.Time{}
	return true, true
}
