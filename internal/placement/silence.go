package placement

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// Timing of suspicions.
const (
	// AcceptTimeout is the time that a server has to accept a flow before it is
	// suspected. Its network stack accepts flows within two round trips.
	AcceptTimeout = 80 * time.Millisecond
	// initialSuspicion is how long a server or zone that has not answered is
	// avoided at first. The time doubles with each failed trial up to
	// maxSuspicion.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 4 * time.Second
)

// AvoidanceChange reports that a server or a zone starts or ceases to be avoided.
type AvoidanceChange struct {
	// Server is set if the change concerns a server, Zone if it concerns a zone.
	Server directory.Cookie
	Zone   string
	// Avoided is set if new flows now go elsewhere.
	Avoided bool
	// MinDuration is the minimum time for which Avoided holds; zero if unknown.
	MinDuration time.Duration
}

// OnAvoidanceChange sets the function to call when a server or a zone starts or
// ceases to be avoided. It must be set before the first flow. fn runs with the
// Placer's lock held and must not call the Placer.
func (p *Placer) OnAvoidanceChange(fn func(AvoidanceChange)) { p.onAvoidanceChange = fn }

func (p *Placer) zoneSuspicion(zone string) *suspicion {
	z := p.zones[zone]
	if z == nil {
		z = &suspicion{}
		p.zones[zone] = z
	}
	return z
}

// serverAvoided reports whether new flows avoid a server because it is suspected
// by this daemon, or by a peer while this daemon has no recent answer of its own.
func (p *Placer) serverAvoided(c directory.Cookie, rec *serverState, now time.Time) bool {
	avoided, began := rec.checkSuspicion(now)
	if began {
		p.onAvoidanceChange(AvoidanceChange{Server: c, Avoided: true, MinDuration: rec.suspectedFor})
	}
	return avoided || rec.suspectingPeers > 0 && now.Sub(rec.lastAnswer) > ownAnswerTTL
}

// zoneAvoided reports whether new flows avoid a zone because it is suspected or
// unreachable.
func (p *Placer) zoneAvoided(zone string, now time.Time) bool {
	z := p.zoneSuspicion(zone)
	avoided, began := z.checkSuspicion(now)
	if began {
		p.onAvoidanceChange(AvoidanceChange{Zone: zone, Avoided: true, MinDuration: z.suspectedFor})
	}
	unreachable := p.unreachable(zone, now)
	if unreachable != p.unreachableZones[zone] {
		p.unreachableZones[zone] = unreachable
		p.onAvoidanceChange(AvoidanceChange{Zone: zone, Avoided: unreachable})
	}
	return avoided || unreachable
}

// suspicion detects that a server or a zone has stopped answering: flows were
// opened to it, but none has been accepted since.
type suspicion struct {
	// unansweredSince is when the oldest unanswered flow was opened; zero if there
	// is none.
	unansweredSince time.Time
	// suspectedUntil is the end of the current suspicion.
	suspectedUntil time.Time
	// suspectedFor is the length of the last suspicion; zero if there was none
	// since the last answer.
	suspectedFor time.Duration
}

// recordFlowOpened records that a flow was opened.
func (s *suspicion) recordFlowOpened(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// recordAnswer records an answer, which ends any suspicion. It reports whether
// there was one.
func (s *suspicion) recordAnswer() (ended bool) {
	ended = s.suspectedFor > 0
	*s = suspicion{}
	return ended
}

// checkSuspicion reports whether to avoid the server or zone, and whether a
// suspicion begins with this call. When a suspicion has run out, new flows are
// trials; if they are not answered either, the next suspicion lasts twice as
// long.
func (s *suspicion) checkSuspicion(now time.Time) (avoid, began bool) {
	if now.Before(s.suspectedUntil) {
		return true, false
	}
	if s.unansweredSince.IsZero() || now.Sub(s.unansweredSince) < AcceptTimeout {
		return false, false
	}
	s.suspectedFor = min(maxSuspicion, max(initialSuspicion, 2*s.suspectedFor))
	s.suspectedUntil = now.Add(s.suspectedFor)
	s.unansweredSince = time.Time{}
	return true, true
}
