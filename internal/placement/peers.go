package placement

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// peerLoadTTL is how long the report of a peer counts. A peer that has gone
// has no requests in progress, or none that end through it.
const peerLoadTTL = time.Second

// peerLoad is the last report of one peer.
type peerLoad struct {
	at      time.Time
	working map[directory.Cookie]int
}

// Report takes over how many requests a peer has in progress at each server.
func (p *Placer) Report(peer string, working map[directory.Cookie]int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.peers[peer]
	p.add(old, -1)
	next := &peerLoad{at: now, working: working}
	p.peers[peer] = next
	p.add(next, 1)
}

func (p *Placer) add(l *peerLoad, sign int) {
	if l == nil {
		return
	}
	for c, n := range l.working {
		rec := p.server(c)
		rec.remote = max(0, rec.remote+sign*n)
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

// Working returns the requests in progress that this daemon has placed, by
// server.
func (p *Placer) Working() map[directory.Cookie]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[directory.Cookie]int{}
	for c, rec := range p.servers {
		if rec.working > 0 {
			out[c] = rec.working
		}
	}
	return out
}
