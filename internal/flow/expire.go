package flow

import "time"

// AgeEvent tells why Expire reports a flow.
type AgeEvent uint8

// Reasons for which Expire reports a flow.
const (
	// Expired: the flow has been idle for the timeout of its state. Expire closes it
	// when the callback returns.
	Expired AgeEvent = iota + 1
	// Silent: the flow is silent, see Flow.Silent. It is reported once until the
	// server sends again. The callback may close the flow.
	Silent
)

// AgeFunc receives a flow that Expire reports. It is called with the flow's shard
// locked, so it must return quickly and must not lock a shard.
type AgeFunc func(s *Shard, f *Flow, e AgeEvent)

// ageBatch is the maximum number of entries examined under one lock. A batch of
// 256 flows that had all expired took up to 0.29 ms of processor time; half of
// that leaves room for the callback within the limit of 1 ms for a pause of the
// packet path.
const ageBatch = 128

// Expire examines up to limit entries, reports expired and silent flows to fn,
// and closes the expired ones. Each call continues where the previous one ended.
// It returns the number of entries examined, which is less than limit only if
// every shard was visited. It holds no lock for more than ageBatch entries.
func (t *Table) Expire(now time.Time, limit int, fn AgeFunc) int {
	t.expireMu.Lock()
	defer t.expireMu.Unlock()
	examined := 0
	for visited := 0; visited < len(t.shards) && examined < limit; {
		s := &t.shards[t.expireAt]
		s.Lock()
		n, end := s.Expire(now, min(ageBatch, limit-examined), fn)
		s.Unlock()
		examined += n
		if end {
			t.expireAt = (t.expireAt + 1) % len(t.shards)
			visited++
		}
	}
	return examined
}

// Expire does the same as Table.Expire for one shard, which must be locked. It
// returns the number of entries examined and whether it reached the end of the
// shard, in which case the next call starts from the beginning.
func (s *Shard) Expire(now time.Time, limit int, fn AgeFunc) (int, bool) {
	ms := s.table.millis(now)
	n := 0
	for ; n < limit && s.cursor < s.slab.next; n++ {
		s.age(s.slab.at(s.cursor), ms, fn)
		s.cursor++
	}
	if s.cursor < s.slab.next {
		return n, false
	}
	s.cursor = 1
	return n, true
}

func (s *Shard) age(f *Flow, now millis, fn AgeFunc) {
	switch {
	case f.state == 0:
	case f.idle(now) >= f.idleTimeout():
		fn(s, f, Expired)
		s.Close(f)
	case f.Silent() && f.flags&silentReported == 0:
		f.flags |= silentReported
		fn(s, f, Silent)
	}
}
