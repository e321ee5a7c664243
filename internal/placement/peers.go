package placement

import (
	"time"

	"knapweedshore.example/internal/directory"
)

const (
	// peerLoadTTL is how long the last report of a peer is used. A peer that has
	// stopped forwards no requests any more.
	peerLoadTTL = time.Second
	// ownAnswerTTL is how long an answer that this daemon got from a server
	// overrides the suspicions of peers, whose own network may be broken.
	ownAnswerTTL = time.Second
	// occupancyTTL is how long the last report of a peer counts in Occupancy. A flood grows
	// within a few of the times that a request takes.
	occupancyTTL = 200 * time.Millisecond
)

// Load is the view of the backend servers that a daemon reports to its peers.
type Load struct {
	// InProgress is the number of requests in progress that the daemon has placed
	// on each server.
	InProgress map[directory.Cookie]int
	// Suspected lists the servers that do not accept the daemon's flows.
	Suspected []directory.Cookie
}

// peerLoad is the last report of one peer.
type peerLoad struct {
	receivedAt time.Time
	Load
}

// SetPeerLoad replaces the last report of a peer.
func (p *Placer) SetPeerLoad(peer string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addPeerLoad(p.peers[peer], -1)
	next := &peerLoad{receivedAt: now, Load: l}
	p.peers[peer] = next
	p.addPeerLoad(next, 1)
}

// addPeerLoad adds a report to the state of its servers (sign 1) or removes it
// (sign -1).
func (p *Placer) addPeerLoad(l *peerLoad, sign int) {
	if l == nil {
		return
	}
	for c, n := range l.InProgress {
		rec := p.state(c)
		rec.peerInProgress = max(0, rec.peerInProgress+sign*n)
	}
	for _, c := range l.Suspected {
		rec := p.state(c)
		rec.suspectingPeers = max(0, rec.suspectingPeers+sign)
	}
}

// ExpirePeers removes reports older than peerLoadTTL. It must be called several times a
// second.
func (p *Placer) ExpirePeers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Confirmed(now.Add(-p.directoryAge(now)), now)
	for name, l := range p.peers {
		if now.Sub(l.receivedAt) > peerLoadTTL {
			p.addPeerLoad(l, -1)
			delete(p.peers, name)
		}
	}
}

// Load returns this daemon's report for its peers.
func (p *Placer) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeFailed(now)
	l := Load{InProgress: map[directory.Cookie]int{}}
	for c, rec := range p.servers {
		if rec.inProgress > 0 {
			l.InProgress[c] = rec.inProgress
		}
		if now.Before(rec.suspectedUntil) {
			l.Suspected = append(l.Suspected, c)
		}
	}
	return l
}

// Occupancy is the load of servers that answer.
type Occupancy struct {
	// InProgress is the number of requests that Daemons daemons have placed, and Slots that
	// of the servers' slots.
	InProgress, Daemons, Slots int
}

// Occupancy returns the load of the servers that are not avoided, from this daemon and the
// peers with a recent report. Reports of a large fleet come too rarely for a sum over all
// daemons, but the recent ones are a sample.
func (p *Placer) Occupancy(servers []*directory.Server, now time.Time) Occupancy {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := Occupancy{Daemons: 1}
	counted := make(map[directory.Cookie]bool, len(servers))
	for _, s := range servers {
		rec := p.state(s.Cookie)
		if p.serverAvoided(s.Cookie, rec, now) || s.Zone != p.zone && p.zoneAvoided(s.Zone, now) {
			continue
		}
		counted[s.Cookie] = true
		o.InProgress += rec.inProgress
		o.Slots += s.Slots
	}
	for _, l := range p.peers {
		if now.Sub(l.receivedAt) > occupancyTTL {
			continue
		}
		o.Daemons++
		for c, n := range l.InProgress {
			if counted[c] {
				o.InProgress += n
			}
		}
	}
	return o
}
