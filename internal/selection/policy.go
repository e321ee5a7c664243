package selection

import (
	"time"

	"knapweedshore.example/internal/tables"
)

// Request asks for the server of a new flow.
type Request struct {
	// Key is the fingerprint of the flow.
	Key  uint64
	Pool *tables.Pool
	Now  time.Time
	// DefaultOnly keeps the flow on its default server unless that server is
	// unusable. It is set when the exception budget is used up or when another
	// owner may have opened the flow.
	DefaultOnly bool
	// Avoid, if not nil, reports whether this flow must not use the server.
	Avoid func(*tables.Server) bool
}

// Choice is the answer to a Request.
type Choice struct {
	Server *tables.Server
	// Default reports whether Server is the default server of the flow key.
	Default bool
}

// Policy chooses servers and learns from the flows that are reported to it.
// Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the server for a new flow, or a *RefusalError.
	Choose(r Request) (Choice, error)
	// Opened reports that a flow now uses the server.
	Opened(id tables.ServerID, now time.Time)
	// Closed reports the end of a flow that was reported with Opened. The time
	// ended may be in the past.
	Closed(id tables.ServerID, opened, ended time.Time)
	// Paused reports that the server has had no work for an open flow since a
	// time that may be in the past.
	Paused(id tables.ServerID, since time.Time)
	// Resumed reports that the server has work for a paused flow again.
	Resumed(id tables.ServerID, now time.Time)
	// Answered reports the delay from the opening of a flow to the first response
	// of the server.
	Answered(id tables.ServerID, delay time.Duration, now time.Time)
	// Failed reports that the server did not accept a flow.
	Failed(id tables.ServerID, now time.Time)
	// Ejected reports whether the server is ejected.
	Ejected(id tables.ServerID, now time.Time) bool
	// SetShare sets the fraction of all slots of the ownership map that this process
	// owns.
	SetShare(fraction float64)
	// Apply switches to a new version of the tables.
	Apply(s *tables.Snapshot, now time.Time)
}
