package tablesync

import (
	"time"

	"knapweedshore.example/internal/tables"
)

// Age returns the time since the version in force was last confirmed as the
// newest one: by the store's answer to a watcher, handed on in heartbeats. It
// counts from the start if that has never happened.
func (s *Syncer) Age() time.Duration {
	s.state.Lock()
	defer s.state.Unlock()
	return time.Since(s.confirmed)
}

// confirm notes that version v was the newest at a time.
func (s *Syncer) confirm(v tables.Version, at time.Time) {
	s.state.Lock()
	defer s.state.Unlock()
	if v == s.Version() && at.After(s.confirmed) {
		s.confirmed = at
	}
}
