package tablesync

import (
	"time"

	"knapweedshore.example/internal/tables"
)

// Age returns the time since the version in force was last confirmed as the newest
// one: by an answer of the store to this daemon, or to a watcher whose heartbeats pass
// the confirmation on. Before the first confirmation it is the time since New.
func (s *Syncer) Age() time.Duration {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return time.Since(s.confirmedAt)
}

// confirm records that version v was the newest one at a time. It has no effect if
// another version is in force.
func (s *Syncer) confirm(v tables.Version, at time.Time) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if v == s.Version() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}
