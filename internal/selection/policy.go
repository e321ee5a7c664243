package selection

import (
	"time"

	"knapweedshore.example/internal/tables"
)

// Request asks for the server of a new flow.
type Request struct {
	// Key is the flow's fingerprint.
	Key  uint64
	Pool *tables.Pool
	Now  time.Time
	// DefaultOnly keeps the flow on its default server unless that server is
	// unusable; set when the exception budget is empty.
	DefaultOnly bool
	// Avoid, if set, reports servers that this flow must not use.
	Avoid func(*tables.Server) bool
}

// Choice is the answer to a Request.
type Choice struct {
	Server *tables.Server
	// Default reports that Server is the default server of the flow key.
	Default bool
}

// Policy chooses servers and learns from the flows it is told about. The
// Chooser and every baseline implement it and are safe for concurrent use.
type Policy interface {
	// Choose returns the server for a new flow, or a *RefusalError.
	Choose(r Request) (Choice, error)
	// Opened reports a flow that now uses the server.
	Opened(id tables.ServerID, now time.Time)
	// Closed reports the end of a flow that was reported to Opened. The end may
	// have passed a while ago.
	Closed(id tables.ServerID, opened, ended time.Time)
	// Paused reports that the server has had nothing to do for an open flow
	// since a time that may have passed.
	Paused(id tables.ServerID, since time.Time)
	// Resumed reports that the server works for a paused flow again.
	Resumed(id tables.ServerID, now time.Time)
	// Answered reports the delay of the first response of a flow.
	Answered(id tables.ServerID, delay time.Duration, now time.Time)
	// Failed reports a flow that the server did not accept.
	Failed(id tables.ServerID, now time.Time)
	// Ejected reports whether the server is ejected.
	Ejected(id tables.ServerID, now time.Time) bool
	// SetShare sets the part of all slots that this process owns.
	SetShare(fraction float64)
	// Apply takes over a new version of the tables.
	Apply(s *tables.Snapshot, now time.Time)
}
