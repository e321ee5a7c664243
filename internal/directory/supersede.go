package directory

// Supersedes reports whether next, an item of a restored store, was written after known,
// the item with the same key that was read before the restore. The revisions do not tell,
// but what the writers count does: the version of a configuration, the writes of a server.
//
// A configuration is never deleted, so one that the store lacks stays in force until it is
// written again. A server that has left after draining does not come back. Nothing tells when
// an evacuation was written, so a zone that may be evacuated is: one that the store lacks
// stays evacuated until the entry is written and removed, and one that it has is evacuated.
func Supersedes(next, known Change) bool {
	if known.Config != nil {
		return next.Config != nil && next.Config.Version >= known.Config.Version
	}
	if known.Evacuated != "" {
		return next.Evacuated != "" || !next.Lost
	}
	was, gone := known.Server, false
	if was == nil {
		was, gone = known.LastState, true
	}
	is := next.Server
	switch {
	case was == nil, is == nil:
		return true
	case is.Started != was.Started:
		return is.Started > was.Started
	case gone && !was.Draining:
		return true // a live server does not write its registration again unless it changes
	}
	return is.Writes > was.Writes
}
