package pace

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/directory"
)

const (
	// limitWindow is the time in which a daemon uses each of its shares once. It exceeds
	// one second by more than the delay of a packet varies.
	limitWindow = 1100 * time.Millisecond
	// maxShares is the greatest limit that is shared out, in requests per second.
	maxShares = 1000
	// minLimit is the smallest limit, so that its window does not overflow.
	minLimit = 0.001
)

// limit is this daemon's part of a server's limit while the server is cold. The limit is cut
// into shares of one request per window, each of which belongs to the registered daemon with
// the greatest weight. No message is needed: daemons with the same directory agree, and one
// that gets a share waits until all others have either learned of that or stopped using
// theirs because of the age of their directories. A daemon that may have missed that a share
// went to another one and came back waits as well.
type limit struct {
	perSecond float64
	// daemonsSince is that of the Pacer when shares was computed.
	daemonsSince time.Time
	// shares holds the time from which on this daemon has had each of its shares.
	shares map[int]time.Time
	// used holds the times of the last requests, oldest first.
	used []time.Time
}

// applyLimit updates the limit of a server.
func (p *Pacer) applyLimit(rec *server, perSecond float64, now time.Time) {
	l := &rec.limit
	if perSecond <= 0 || !rec.current.Cold(now) {
		*l = limit{used: l.used}
		return
	}
	if l.perSecond == perSecond && l.daemonsSince.Equal(p.daemonsSince) {
		return
	}
	before := l.shares
	l.perSecond, l.daemonsSince, l.shares = perSecond, p.daemonsSince, map[int]time.Time{}
	if !p.registered {
		return
	}
	for share := range int(max(1, min(perSecond, maxShares))) {
		if p.owner(rec.current, share) != p.options.Self {
			continue
		}
		since, ok := before[share]
		if !ok {
			since = p.daemonsSince
		}
		l.shares[share] = since
	}
}

// window returns the time in which each share is used once.
func (l *limit) window() time.Duration {
	if l.perSecond >= 1 {
		return limitWindow
	}
	return time.Duration(float64(limitWindow) / max(minLimit, l.perSecond))
}

// settleTime is how long a daemon leaves a share alone that it has got.
func (p *Pacer) settleTime() time.Duration { return p.options.MaxAge + limitWindow }

// Confirmed records the time of the last confirmation that the directory is the newest one.
// It must be called several times within the maximum age.
func (p *Pacer) Confirmed(at, now time.Time) {
	if at.Sub(p.confirmedAt) > p.options.MaxAge {
		p.gapAt = now
	}
	p.confirmedAt = at
}

// MayPlace reports whether a flow may be placed on a server of a pool with a limit. age is the
// age of the directory. A cold server that Apply has not seen yet takes no flows.
func (p *Pacer) MayPlace(s *directory.Server, age time.Duration, now time.Time) bool {
	if !s.Cold(now) {
		return true
	}
	rec := p.servers[s.Cookie]
	if rec == nil || age > p.options.MaxAge || now.Sub(p.gapAt) < p.settleTime() {
		return false
	}
	l := &rec.limit
	usable := 0
	for _, since := range l.shares {
		if now.Sub(since) >= p.settleTime() {
			usable++
		}
	}
	for len(l.used) > 0 && now.Sub(l.used[0]) >= l.window() {
		l.used = l.used[1:]
	}
	return len(l.used) < usable
}

// Placed records that a flow was placed on a server.
func (p *Pacer) Placed(s *directory.Server, now time.Time) {
	if rec := p.servers[s.Cookie]; rec != nil && rec.limit.perSecond > 0 && s.Cold(now) {
		rec.limit.used = append(rec.limit.used, now)
	}
}

// owner returns the address of the daemon that a share of a server's limit belongs to.
func (p *Pacer) owner(s *directory.Server, share int) (owner netip.Addr) {
	greatest := uint64(0)
	for _, d := range p.daemons {
		if w := weight(s, share+1, d); w >= greatest {
			owner, greatest = d.addr, w
		}
	}
	return owner
}

// weight returns the weight of a daemon for a server in rendezvous hashing, with a number that
// tells several orders of the daemons apart.
func weight(s *directory.Server, number int, d daemon) uint64 {
	var b [24]byte
	binary.BigEndian.PutUint32(b[:], uint32(s.Cookie))
	binary.BigEndian.PutUint32(b[4:], uint32(number))
	addr := d.addr.As16()
	copy(b[8:], addr[:])
	return xxhash.Sum64(b[:])
}
