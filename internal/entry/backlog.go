package entry

import (
	"sync/atomic"
	"time"

	"knapweedshore.example/internal/pause"
)

const (
	// staleAfter is how long an opening packet may wait in the socket. Callers send
	// their last copy after 600 ms: what has waited for longer has a copy that took
	// another daemon, or a caller that is about to give up.
	staleAfter = 600 * time.Millisecond
	// backlogQuiet without a packet shows that the socket is empty, and
	// backlogLongest bounds the search on a busy daemon.
	backlogQuiet   = 2 * time.Millisecond
	backlogLongest = 100 * time.Millisecond
)

// pauses notices when the daemon has not run for longer than staleAfter.
type pauses struct {
	clock *pause.Detector
	// ended is when the last pause ended.
	ended atomic.Pointer[time.Time]
}

func newPauses(now time.Time) *pauses { return &pauses{clock: pause.NewDetector(now)} }

// tick notes that the daemon runs and returns when the last pause ended, or nil.
// Whoever runs first after a pause notices it.
func (p *pauses) tick(now time.Time) *time.Time {
	if p.clock.Gap(now) > staleAfter {
		p.ended.Store(&now)
	}
	p.clock.Mark(now)
	return p.ended.Load()
}

// backlog tells whether packets have waited in the socket while the daemon could
// not read them. Only the reader uses it.
type backlog struct {
	pauses *pauses
	// seen is the end of the last pause that was looked at.
	seen *time.Time
	// until ends the backlog if the socket does not become empty before; zero if
	// there is none.
	until time.Time
}

// begin notes that there is a backlog.
func (b *backlog) begin(now time.Time) { b.until = now.Add(backlogLongest) }

// read notes a packet and reports whether it has waited, and whether the daemon
// has just been paused.
func (b *backlog) read(now time.Time) (waited, paused bool) {
	if ended := b.pauses.tick(now); ended != b.seen {
		b.seen = ended
		paused = now.Sub(*ended) < backlogLongest // otherwise the socket was empty
	}
	if paused {
		b.begin(now)
	}
	return now.Before(b.until), paused
}

// deadline is when to look whether the socket is empty; zero for never.
func (b *backlog) deadline(now time.Time) time.Time {
	if !now.Before(b.until) {
		return time.Time{}
	}
	return now.Add(backlogQuiet)
}

// empty notes that the socket had no packet at the deadline.
func (b *backlog) empty() { b.until = time.Time{} }
