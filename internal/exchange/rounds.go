package exchange

import (
	"net/netip"
	"time"
)

// crossZoneBatchOf returns the number of peers in other zones to which each daemon of a
// zone sends a report at a time.
func crossZoneBatchOf(daemons int) int {
	if isMesh(daemons) {
		return crossZoneBatch
	}
	return largeCrossZoneBatch
}

// zoneHeartbeat returns the maximum time between two reports to the same peer of the
// own zone.
func (t *PeerTable) zoneHeartbeat() time.Duration {
	n := t.zonePeerCount()
	if t.isMesh() {
		return max(heartbeatInterval, zoneInterval(n))
	}
	return heartbeatInterval * time.Duration((n+zoneBatch-1)/zoneBatch)
}

// isMesh reports whether all daemons of a zone report to each other.
func isMesh(daemons int) bool { return daemons-1 <= maxMeshPeers }

func (t *PeerTable) isMesh() bool { return isMesh(1 + t.zonePeerCount()) }

// zoneInterval returns the minimum time between two rounds of reports to n peers.
func zoneInterval(n int) time.Duration {
	return max(minZoneInterval, time.Duration(n)*zoneIntervalPerPeer)
}

// ZoneRound is a round of reports to daemons of the own zone.
type ZoneRound struct {
	Peers []netip.Addr
	// MinInterval and MaxInterval are the minimum and maximum time until the next
	// round.
	MinInterval, MaxInterval time.Duration
	// OnLoad reports whether a change of the load makes the next round due, and not
	// only news.
	OnLoad bool
}

// NextZoneRound returns the next round of reports to the own zone: to all of its peers
// if they are few, otherwise to zoneBatch peers in turn, in random order. News that each
// daemon passes on to a few random peers reaches all daemons in a number of rounds
// that grows with the logarithm of their number.
func (t *PeerTable) NextZoneRound() ZoneRound {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isMesh() {
		return ZoneRound{Peers: t.zoneRotation.next(zoneBatch, t.zonePeers), MinInterval: zoneInterval(zoneBatch), MaxInterval: heartbeatInterval}
	}
	minInterval := zoneInterval(t.zonePeerCount())
	return ZoneRound{Peers: t.zonePeers(), MinInterval: minInterval, MaxInterval: max(heartbeatInterval, minInterval), OnLoad: true}
}

func (t *PeerTable) zonePeers() []netip.Addr {
	var out []netip.Addr
	for _, p := range t.peers {
		if p.zone == t.ownZone {
			out = append(out, p.addr)
		}
	}
	return out
}

// NextCrossZoneBatch returns the peers of other zones that get the next report. Seeds
// that are not known as peers yet count as such.
func (t *PeerTable) NextCrossZoneBatch() []netip.Addr {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crossZoneRotation.next(crossZoneBatchOf(1+t.zonePeerCount()), t.otherZonePeers)
}

// otherZonePeers returns the peers of other zones and the seeds that are not known as
// peers yet.
func (t *PeerTable) otherZonePeers() []netip.Addr {
	var out []netip.Addr
	for _, p := range t.peers {
		if p.zone != t.ownZone {
			out = append(out, p.addr)
		}
	}
	for _, s := range t.seeds {
		if s != t.self && t.peers[s] == nil {
			out = append(out, s)
		}
	}
	return out
}
