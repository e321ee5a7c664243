package exchange

import (
	"net/netip"
	"slices"
	"time"
)

// recordWatchers records which daemons of the own zone watch the store according to a
// report of p, which belongs to it.
func (t *PeerTable) recordWatchers(p *peer, r Report, now time.Time) {
	if r.Watching && !r.Leaving && r.Age <= t.maxAge {
		p.watchingAt = now
	} else {
		p.notWatchingAt = now
	}
	for addr, age := range r.Watchers {
		if w := t.peers[addr]; w != nil && w.zone == t.ownZone && now.Add(-age).After(w.watchingAt) {
			w.watchingAt = now.Add(-age)
		}
	}
}

// watches reports whether a peer of the own zone watches the store, as far as is known.
func (t *PeerTable) watches(p *peer, now time.Time) bool {
	return p.zone == t.ownZone && p.watchingAt.After(p.notWatchingAt) && now.Sub(p.watchingAt) <= t.maxWatcherSilence()
}

// maxWatcherSilence returns how long the last report of a live watcher may be ago.
func (t *PeerTable) maxWatcherSilence() time.Duration {
	if t.isMesh() {
		return t.maxSilence(t.ownZone)
	}
	return maxWatcherSilence
}

// Watchers returns the age of the last report of each daemon of the own zone that
// watches the store, for the reports of this daemon.
func (t *PeerTable) Watchers(now time.Time) map[netip.Addr]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[netip.Addr]time.Duration{}
	for addr, p := range t.peers {
		if t.watches(p, now) {
			out[addr] = now.Sub(p.watchingAt)
		}
	}
	return out
}

// ShouldWatch implements registry.WatcherRole. A daemon watches the store
//
//   - if no daemon of its zone with a lower address watches, and fewer than
//     maxWatchingZones zones with a lower name have fresh daemons,
//   - if its directory has not been confirmed for longer than MaxAge, or
//   - if it has been behind its peers for longer than catchUpGrace.
//
// A daemon is fresh if it has reported recently, is not leaving and has a directory
// that is not older than MaxAge.
//
// A daemon whose calls to the store fail does not report that it watches, so that
// the next one takes over. The age of its directory does not show the failure, because
// its peers keep confirming the directory.
//
// When the watch is free, each daemon first leaves it to those with precedence, so that
// not all of a large zone call the store at once. When a whole fleet starts for the first
// time, the seeds watch and tell the others of each other.
func (t *PeerTable) ShouldWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateBehindSince(now)
	_, age := t.ownState(now)
	if age > t.maxAge+t.maxAgeExtension(now) {
		return true
	}
	if !t.behindSince.IsZero() && now.Sub(t.behindSince) > catchUpGrace {
		return true
	}
	if t.knowsOnlySeeds() && age <= t.maxAge/2+t.startJitter {
		return false
	}
	if t.isWatched(now) {
		t.unwatchedSince = time.Time{}
		return false
	}
	if t.unwatchedSince.IsZero() {
		t.unwatchedSince = now
	}
	return now.Sub(t.unwatchedSince) >= t.takeoverDelay(now)
}

// knowsOnlySeeds reports whether this daemon is no seed and knows no daemons but seeds.
func (t *PeerTable) knowsOnlySeeds() bool {
	if len(t.seeds) == 0 || slices.Contains(t.seeds, t.self) {
		return false
	}
	for addr := range t.peers {
		if !slices.Contains(t.seeds, addr) {
			return false
		}
	}
	return true
}

// FailingPeers implements registry.WatcherRole. It counts the peers of the own zone.
func (t *PeerTable) FailingPeers(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if p.zone == t.ownZone && p.lastReport.StoreFailing && now.Sub(p.lastSeen) <= t.maxSilence(p.zone) {
			n++
		}
	}
	return n
}

// isWatched reports whether other daemons watch the store for this one.
func (t *PeerTable) isWatched(now time.Time) bool {
	coveredZones := map[string]bool{}
	large := t.isRegionLarge()
	for _, p := range t.peers {
		if p.addr.Less(t.self) && t.watches(p, now) {
			return true
		}
		if p.zone < t.ownZone && !large && t.isFresh(p, now) {
			coveredZones[p.zone] = true
		}
	}
	for name, z := range t.zones {
		// No single daemon of another zone reports often in a large region. The age of
		// the own directory shows whether the zone has the news.
		if name < t.ownZone && large && !z.heardAt.IsZero() && !t.isSilent(name, now) {
			coveredZones[name] = true
		}
	}
	return len(coveredZones) >= maxWatchingZones
}

// takeoverDelay returns how long this daemon leaves a free watch to the daemons with
// precedence: those of its zone with a lower address and, in all but the first zones,
// those of zones with a lower name.
func (t *PeerTable) takeoverDelay(now time.Time) time.Duration {
	zonesBefore := map[string]bool{}
	for _, p := range t.peers {
		if p.zone < t.ownZone && t.mayBeAlive(p, now) {
			zonesBefore[p.zone] = true
		}
	}
	if len(zonesBefore) >= maxWatchingZones {
		return introductionTime
	}
	return t.precedenceDelay(now)
}

// precedenceDelay returns how long this daemon leaves a call to the daemons of its zone
// with a lower address.
func (t *PeerTable) precedenceDelay(now time.Time) time.Duration {
	before := 0
	for _, p := range t.peers {
		if p.zone == t.ownZone && p.addr.Less(t.self) && t.mayBeAlive(p, now) {
			before++
		}
	}
	return min(maxTakeoverDelay, time.Duration(before)*takeoverStep)
}

// maxAgeExtension returns how long this daemon leaves it to those with precedence to
// confirm a directory that is too old. In a small zone it costs little that all do so.
func (t *PeerTable) maxAgeExtension(now time.Time) time.Duration {
	if t.isMesh() {
		return 0
	}
	return t.precedenceDelay(now)
}

// mayBeAlive reports whether a peer is fresh, or may be although it has not reported yet.
func (t *PeerTable) mayBeAlive(p *peer, now time.Time) bool {
	return t.isFresh(p, now) || t.isBeingIntroduced(p, now)
}

// isBeingIntroduced reports whether a peer that has not reported yet may be alive.
func (t *PeerTable) isBeingIntroduced(p *peer, now time.Time) bool {
	return p.lastSeen.IsZero() && !p.knownSince.IsZero() && now.Sub(p.knownSince) < introductionTime
}
