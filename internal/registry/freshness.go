package registry

import (
	"sync"
	"time"

	"knapweedshore.example/internal/pause"
)

// maxSources limits the number of sources whose last confirmation is remembered. It exceeds
// the number of daemons that call the store at a time.
const maxSources = 1024

// Confirmation identifies an answer of the store, which showed a daemon which position was
// the newest one. Daemons pass it on together with its age.
type Confirmation struct {
	// Source identifies the process that got the answer, Number counts its answers from 1.
	Source, Number uint64
}

// freshness is the knowledge of how current the directory is. A confirmation is dated when
// this process first hears of it and keeps that date: each message loses the time that it
// was under way, so that daemons which dated a confirmation anew with each message would
// keep telling each other that an old directory is current. It is safe for concurrent use.
type freshness struct {
	mu sync.Mutex
	// own is the last answer of the store to this process.
	own Confirmation
	// dates holds the date of the newest confirmation from each source.
	dates map[uint64]datedConfirmation
	// newest is the confirmation of the directory with the latest date.
	newest datedConfirmation
	// lastPause is the last pause of the process that the dates take into account.
	lastPause *pause.Pause
}

type datedConfirmation struct {
	Confirmation
	at time.Time
}

// newFreshness returns the freshness of a process that source identifies.
func newFreshness(source uint64) *freshness {
	return &freshness{own: Confirmation{Source: source}, dates: map[uint64]datedConfirmation{}}
}

// handlePause corrects the dates after a pause that the monotonic clock did not count. Without
// that, the directory would appear as current as it was before the pause.
func (f *freshness) handlePause(p *pause.Pause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p == f.lastPause {
		return
	}
	f.lastPause = p
	for source, d := range f.dates {
		d.at = d.at.Add(-p.Uncounted)
		f.dates[source] = d
	}
	f.newest.at = f.newest.at.Add(-p.Uncounted)
}

// next returns the confirmation for a new answer of the store to this process.
func (f *freshness) next() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own.Number++
	return f.own
}

// date returns when a confirmation was made. The argument at is the date according to the
// message that it came with. It reports false if the date is unknown, because a later
// confirmation from the same source is known already.
func (f *freshness) date(c Confirmation, at time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.dates[c.Source]
	switch {
	case c.Source == 0, ok && c.Number < known.Number:
		return time.Time{}, false
	case ok && c.Number == known.Number:
		return known.at, true
	}
	if !ok && len(f.dates) >= maxSources {
		f.forgetOldest()
	}
	f.dates[c.Source] = datedConfirmation{c, at}
	return at, true
}

// forgetOldest deletes the source whose last confirmation is the oldest.
func (f *freshness) forgetOldest() {
	var oldest datedConfirmation
	for _, d := range f.dates {
		if oldest.Source == 0 || d.at.Before(oldest.at) {
			oldest = d
		}
	}
	delete(f.dates, oldest.Source)
}

// confirm records that the directory was current at the date of a confirmation.
func (f *freshness) confirm(c Confirmation, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest.Number == 0 || at.After(f.newest.at) {
		f.newest = datedConfirmation{c, at}
	}
}

// latest returns the confirmation with the latest date. It reports false if there is none.
func (f *freshness) latest() (datedConfirmation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest, f.newest.Number > 0
}
