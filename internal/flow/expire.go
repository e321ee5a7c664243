package flow

import "time"

// AgeEvent tells why an ageing step reports a flow.
type AgeEvent uint8

// Reports of an ageing step.
const (
	// Expired: the flow reached the idle timeout of its state. It is closed
	// when the callback returns.
	Expired AgeEvent = iota + 1
	// Silent: see Flow.Silent. Reported once until the server sends again. The
	// callback may close the flow.
	Silent
)

// AgeFunc receives a flow from an ageing step, with its shard locked. It must
// return quickly and must not lock a shard.
type AgeFunc func(s *Shard, f *Flow, a AgeEvent)

// ageBatch is how many entries are examined under one lock. A batch of 256 that
// all expired took up to 0.29 ms of processor time; half of that leaves room
// for the callback below the limit of 1 ms for a pause of the packet path.
const ageBatch = 128

// Expire examines up to limit entries, reports expired and silent flows to fn,
// and closes the expired ones. Successive calls continue through all shards.
// It returns the number of entries examined, which is below limit only when
// every shard was visited. No lock is held for more than ageBatch entries.
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

// Expire examines up to limit entries of the shard, which must be locked, as
// Table.Expire does. It returns how many it examined and whether it reached the
// end of the shard, after which it starts over.
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
