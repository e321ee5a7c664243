package tablesync

import "knapweedshore.example/internal/tables"

const (
	// logEntries and logBytes bound the recent deltas that are kept for peers.
	// A peer that lacks older ones gets a whole snapshot.
	logEntries = 512
	logBytes   = 256 * 1024
)

// deltaLog keeps the encoded deltas of the last versions without gaps.
type deltaLog struct {
	entries []logEntry
	size    int
}

type logEntry struct {
	version tables.Version
	delta   []byte
}

// add appends the next version and drops the oldest ones over the limits.
func (l *deltaLog) add(v tables.Version, delta []byte) {
	l.entries = append(l.entries, logEntry{v, delta})
	l.size += len(delta)
	for len(l.entries) > 1 && (len(l.entries) > logEntries || l.size > logBytes) {
		l.size -= len(l.entries[0].delta)
		l.entries = l.entries[1:]
	}
}

// last returns the newest entries, at most n.
func (l *deltaLog) last(n int) []logEntry { return l.entries[max(0, len(l.entries)-n):] }

// since returns the deltas after have, and whether none is missing.
func (l *deltaLog) since(have tables.Version) ([][]byte, bool) {
	if len(l.entries) == 0 || have+1 < l.entries[0].version {
		return nil, false
	}
	var out [][]byte
	for _, e := range l.entries {
		if e.version > have {
			out = append(out, e.delta)
		}
	}
	return out, true
}

// reset forgets everything: a whole snapshot has taken the place of deltas.
func (l *deltaLog) reset() { *l = deltaLog{} }
