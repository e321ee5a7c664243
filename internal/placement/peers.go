package placement

import (
	"time"

	"knapweedshore.example/internal/directory"
)

const (
	// peerLoadTTL is how long the report of a peer counts. A peer that has gone
	// has no requests in progress, or none that end through it.
	peerLoadTTL = time.Second
	// ownEvidence is how long an answer of a server to this daemon outweighs the
	// suspicion of a peer, whose own network may be what is broken.
	ownEvidence = time.Second
)

// Load is what a daemon knows of the servers and tells its peers.
type Load struct {
	// InProgress are the requests in progress that the daemon has placed.
	InProgress map[directory.Cookie]int
	// Suspected are the servers that do not accept its flows.
	Suspected []directory.Cookie
}

// peerLoad is the last report of one peer.
type peerLoad struct {
	at time.Time
	Load
}

// SetPeerLoad takes over what a peer knows of the servers.
func (p *Placer) SetPeerLoad(peer string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(p.peers[peer], -1)
	next := &peerLoad{at: now, Load: l}
	p.peers[peer] = next
	p.add(next, 1)
}

func (p *Placer) add(l *peerLoad, sign int) {
	if l == nil {
		return
	}
	for c, n := range l.InProgress {
		rec := p.server(c)
		rec.remote = max(0, rec.remote+sign*n)
	}
	for _, c := range l.Suspected {
		rec := p.server(c)
		rec.suspectedBy = max(0, rec.suspectedBy+sign)
	}
}

// ExpirePeers drops the reports of peers that have fallen silent.
func (p *Placer) ExpirePeers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.peers {
		if now.Sub(l.at) > peerLoadTTL {
			p.add(l, -1)
			delete(p.peers, name)
		}
	}
}

// Load returns what to tell the peers.
func (p *Placer) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := Load{InProgress: map[directory.Cookie]int{}}
	for c, rec := range p.servers {
		if rec.working > 0 {
			l.InProgress[c] = rec.working
		}
		if now.Before(rec.until) {
			l.Suspected = append(l.Suspected, c)
		}
	}
	return l
}
