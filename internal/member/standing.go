package member

import "time"

const (
	// PauseLimit is the longest gap of the table's loop after which the
	// daemon keeps its standing. It equals the silence after which peers
	// suspect a member; they give its slots away only 750 ms later.
	PauseLimit = time.Second
	// IsolationTimeout is how long a daemon without standing waits for a peer.
	// If no peer was heard during this time it decides alone, because callers
	// can then reach no other member through it.
	IsolationTimeout = 2 * time.Second
)

// standing is the right to decide about flows.
type standing struct {
	held      bool
	missing   time.Time // start of the wait for a peer
	lastHeard time.Time // last message of any peer
}

// isolated reports whether the wait for a peer has been in vain.
func (s *standing) isolated(now time.Time) bool {
	return now.Sub(s.missing) >= IsolationTimeout && now.Sub(s.lastHeard) >= IsolationTimeout
}
