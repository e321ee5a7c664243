package entry

import (
	"time"

	"knapweedshore.example/internal/pause"
)

const (
	// staleAfter is how long an opening packet may wait in the socket. Callers send
	// the last retransmission after 600 ms. If a packet has waited for longer,
	// another daemon has probably forwarded a retransmission, or the caller is about
	// to give up.
	staleAfter = 600 * time.Millisecond
	// backlogIdleTime is how long no packet must arrive for the socket to count as
	// empty.
	backlogIdleTime = 2 * time.Millisecond
	// maxBacklogTime is the maximum length of a backlog: on a busy daemon the
	// socket does not become empty.
	maxBacklogTime = 100 * time.Millisecond
)

// backlog tracks whether the packets being read have waited in the socket while the
// daemon could not read them. Only the reading goroutine uses it.
type backlog struct {
	pauses *pause.Monitor
	// handledPause is the last pause that read has handled.
	handledPause *pause.Pause
	// until is when the backlog ends unless the socket becomes empty before; zero if
	// there is no backlog.
	until time.Time
}

// start begins a backlog.
func (b *backlog) start(now time.Time) { b.until = now.Add(maxBacklogTime) }

// read records that a packet was read. It reports whether the packet has waited,
// and whether a pause of the daemon has just ended.
func (b *backlog) read(now time.Time) (waited, paused bool) {
	if last := b.pauses.Tick(now); last != b.handledPause {
		b.handledPause = last
		// A packet that is read later than that has arrived after the pause.
		paused = now.Sub(last.End) < maxBacklogTime
	}
	if paused {
		b.start(now)
	}
	return now.Before(b.until), paused
}

// deadline returns the read deadline at which the socket counts as empty, or zero
// if there is no backlog.
func (b *backlog) deadline(now time.Time) time.Time {
	if !now.Before(b.until) {
		return time.Time{}
	}
	return now.Add(backlogIdleTime)
}

// markEmpty ends the backlog because no packet arrived before the deadline.
func (b *backlog) markEmpty() { b.until = time.Time{} }
