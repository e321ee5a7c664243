package placement

import "time"

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

// answer notes that something was heard.
func (s *silence) answer(time.Time) { *s = silence{} }

// suspected reports whether to avoid the server or zone. When a suspicion
// ends, one flow is let through as a trial; if that is not answered either, the
// next suspicion lasts twice as long.
func (s *silence) suspected(now time.Time) bool {
	if now.Before(s.until) {
		return true
	}
	if s.waiting.IsZero() || now.Sub(s.waiting) < answerGrace {
		return false
	}
	s.lasting = min(longestSuspicion, max(firstSuspicion, 2*s.lasting))
	s.until = now.Add(s.lasting)
	s.waiting = time.Time{}
	return true
}
