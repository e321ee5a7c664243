package member

import "time"

const (
	// MaxPause is the longest interval between two iterations of the table's
	// loop for which the daemon stays eligible. Peers suspect a member after the
	// same time without a message, and reassign its slots only 750 ms later.
	MaxPause = time.Second
	// IsolationTimeout is how long an ineligible daemon waits for a peer. If no
	// peer sends a heartbeat during this time, the daemon becomes eligible without
	// an acknowledgement, because it then cannot forward packets to another member.
	IsolationTimeout = 2 * time.Second
)

// eligibility tracks whether the daemon may open flows and decide about them.
type eligibility struct {
	granted       bool
	pendingSince  time.Time // start of the wait for an acknowledgement
	lastHeartbeat time.Time // last heartbeat from any peer
}

// isolated reports whether no peer was reachable for IsolationTimeout.
func (e *eligibility) isolated(now time.Time) bool {
	return now.Sub(e.pendingSince) >= IsolationTimeout && now.Sub(e.lastHeartbeat) >= IsolationTimeout
}
