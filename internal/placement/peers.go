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
