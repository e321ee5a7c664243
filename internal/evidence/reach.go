package evidence

import (
	"time"

	"knapweedshore.example/internal/directory"
)

const (
	// reachInterval is the resolution in which a daemon remembers when it has reached a zone,
	// and reachIntervals the number of intervals that it remembers.
	reachInterval  = 50 * time.Millisecond
	reachIntervals = 64
	// reachWindow is the time after a packet in which another server of the zone must have
	// been reached for the packet to count as sent in vain.
	reachWindow = 200 * time.Millisecond
	// reachTTL is how long ago a zone may have been reached.
	reachTTL = 700 * time.Millisecond
)

// reach remembers when a daemon has sent something to the servers of a zone that was answered.
// Where a zone, or the daemon itself, is cut off, none of its servers answers, and silence
// says nothing about one of them.
type reach struct {
	intervals [reachIntervals]reachedInterval
}

// reachedInterval holds the first two servers that have answered something which was sent in
// an interval.
type reachedInterval struct {
	number  int64
	servers [2]directory.Cookie
}

// add records that a server has answered something that was sent in an interval.
func (r *reach) add(interval int64, c directory.Cookie) {
	i := &r.intervals[interval%reachIntervals]
	switch {
	case i.number > interval:
	case i.number < interval:
		*i = reachedInterval{number: interval, servers: [2]directory.Cookie{c}}
	case i.servers[0] != c:
		i.servers[1] = c
	}
}

// reachedOther reports whether a server other than c has answered something that was sent in
// one of the intervals from first to last.
func (r *reach) reachedOther(c directory.Cookie, first, last int64) bool {
	for n := max(first, last-reachIntervals+1, 0); n <= last; n++ {
		i := &r.intervals[n%reachIntervals]
		if i.number == n && (i.servers[0] != c && i.servers[0] != 0 || i.servers[1] != c && i.servers[1] != 0) {
			return true
		}
	}
	return false
}

// interval returns the number of the interval of a time.
func (s *Silences) interval(t time.Time) int64 { return 1 + int64(t.Sub(s.start)/reachInterval) }

func (s *Silences) recordReach(server *directory.Server, sentAt time.Time) {
	if sentAt.Before(s.start) {
		return
	}
	r := s.reached[server.Zone]
	if r == nil {
		r = &reach{}
		s.reached[server.Zone] = r
	}
	r.add(s.interval(sentAt), server.Cookie)
}

// reachedAfter reports whether this daemon has reached another server of a server's zone with
// something that it sent within reachWindow after at.
func (s *Silences) reachedAfter(server *directory.Server, at time.Time) bool {
	r := s.reached[server.Zone]
	return r != nil && !at.Before(s.start) && r.reachedOther(server.Cookie, s.interval(at), s.interval(at.Add(reachWindow)))
}

// reachedLately reports whether this daemon has reached another server of a server's zone within
// reachTTL.
func (s *Silences) reachedLately(server *directory.Server, now time.Time) bool {
	r := s.reached[server.Zone]
	return r != nil && r.reachedOther(server.Cookie, s.interval(now.Add(-reachTTL)), s.interval(now))
}
