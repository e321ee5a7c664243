// Package evidence holds what the daemons of a region have observed of the backend
// servers: which ones are silent, how far a starting server has been loaded, and how
// requests have ended. It is the one home of what peers say about that.
package evidence

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// DaemonID and ZoneID identify a daemon and an availability zone in reports. They are
// hashes of the daemon's address and of the zone's name.
type (
	DaemonID uint32
	ZoneID   uint32
)

// Probe is the result of a connection attempt to a server's address.
type Probe uint8

// Results of a Probe.
const (
	// ProbeNone stands for no attempt, or for one that succeeded.
	ProbeNone Probe = iota
	// ProbeTimeout stands for an attempt that was not answered.
	ProbeTimeout
	// ProbeRefused stands for a refused attempt: the server's process is gone.
	ProbeRefused
)

// Silence is what one daemon, the witness, knows of a server that does not acknowledge
// what callers send.
type Silence struct {
	Server  directory.Cookie
	Witness DaemonID
	Zone    ZoneID
	// SilentFor is for how long the server had been silent when the witness stated it,
	// and Age the time since then.
	SilentFor, Age time.Duration
	// Flows is the number of flows that have sent data in vain.
	Flows int
	Probe Probe
}

// Heard is the last proof that a server lives that any daemon has seen.
type Heard struct {
	Server directory.Cookie
	Age    time.Duration
}

// Pace is the stage that a server has reached since it started or recovered.
type Pace struct {
	Server directory.Cookie
	// Period tells the starts and recoveries of the server apart; a later one is
	// greater. The greatest pair of Period and Stage counts.
	Period uint64
	Stage  int
}

// Outcomes counts how the requests ended that one daemon has seen on a server. The
// counts decay with time.
type Outcomes struct {
	Server               directory.Cookie
	Timely, Late, Failed int
}

// Report is the evidence in a daemon's report. Each list is ordered by urgency, since
// the end of a list may not fit into a report.
type Report struct {
	Silences []Silence
	Heard    []Heard
	Paces    []Pace
	Outcomes []Outcomes
}
