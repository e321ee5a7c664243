package tablesync

import "knapweedshore.example/internal/tables"

const (
	// maxLogEntries and maxLogBytes limit the recent deltas that are kept for peers. A
	// peer that lacks older ones gets the whole snapshot.
	maxLogEntries = 512
	maxLogBytes   = 256 * 1024
)

// deltaLog holds the encoded deltas of the last versions, without gaps.
type deltaLog struct {
	entries []logEntry
	bytes   int
}

type logEntry struct {
	version tables.Version
	delta   []byte
}

// add appends the delta of the next version, and drops the oldest ones while the log
// exceeds its limits.
func (l *deltaLog) add(v tables.Version, delta []byte) {
	l.entries = append(l.entries, logEntry{v, delta})
	l.bytes += len(delta)
	for len(l.entries) > 1 && (len(l.entries) > maxLogEntries || l.bytes > maxLogBytes) {
		l.bytes -= len(l.entries[0].delta)
		l.entries = l.entries[1:]
	}
}

// last returns the newest entries, at most n.
func (l *deltaLog) last(n int) []logEntry { return l.entries[max(0, len(l.entries)-n):] }

// since returns the deltas after version have. It reports false if some are missing.
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

// reset removes all entries, because a snapshot has replaced the tables.
func (l *deltaLog) reset() { *l = deltaLog{} }
