package exchange

import "time"

// recordZones records which zones the own zone hears according to a report from it.
func (t *PeerTable) recordZones(r Report, now time.Time) {
	if !t.isRegionLarge() {
		return
	}
	for _, z := range t.zones {
		if age, ok := r.Zones[z.id]; ok && now.Add(-age).After(z.heardAt) {
			z.heardAt = now.Add(-age)
		}
	}
}

// isRegionLarge reports whether a daemon hears of other zones so rarely that the daemons
// of a zone share what they hear. In a small region, each relies on its own reports,
// because what another daemon hears does not tell whether this one is cut off.
func (t *PeerTable) isRegionLarge() bool {
	return !t.isMesh() || t.otherZonePeerCount() > maxMissedReports*crossZoneBatch
}

// HeardZones returns the age of the last report from each other zone, for the reports
// of this daemon.
func (t *PeerTable) HeardZones(now time.Time) map[ZoneID]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[ZoneID]time.Duration{}
	for name, z := range t.zones {
		if name != t.ownZone && !z.heardAt.IsZero() {
			out[z.id] = now.Sub(z.heardAt)
		}
	}
	return out
}

// isFresh reports whether a peer is alive, is not leaving and has a directory that was
// confirmed within maxAge.
func (t *PeerTable) isFresh(p *peer, now time.Time) bool {
	sinceReport := now.Sub(p.lastSeen)
	return !p.lastSeen.IsZero() && !p.lastReport.Leaving && sinceReport <= t.maxSilence(p.zone) && p.lastReport.Age+sinceReport <= t.maxAge
}

// maxSilence returns how long a live peer of a zone may send no report.
func (t *PeerTable) maxSilence(zone string) time.Duration {
	if zone == t.ownZone {
		return max(minSilence, maxMissedReports*t.zoneHeartbeat())
	}
	z := t.zones[zone]
	batch := crossZoneBatchOf(z.peers)
	rounds := (1 + len(t.peers) - z.peers + batch - 1) / batch
	return max(minSilence, maxMissedReports*time.Duration(rounds)*crossZoneInterval)
}

// ZoneSilent reports whether all daemons of another zone have been silent for so long
// that the zone is probably cut off.
func (t *PeerTable) ZoneSilent(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSilent(zone, now)
}

func (t *PeerTable) isSilent(zone string, now time.Time) bool {
	z := t.zones[zone]
	// In a zone without daemons, silence does not tell whether servers are reachable.
	if zone == t.ownZone || z == nil || z.peers == 0 {
		return false
	}
	lastHeard := z.listeningSince
	if z.heardAt.After(lastHeard) {
		lastHeard = z.heardAt
	}
	return now.Sub(lastHeard) > t.maxZoneSilence(z)
}

// maxZoneSilence returns how long a whole zone may send no report. All daemons of the
// zone send reports in turn, so the more it has, the shorter the time. In a large region,
// each report counts for all daemons of the zone that gets it.
func (t *PeerTable) maxZoneSilence(z *zoneState) time.Duration {
	others := 1 + len(t.peers) - z.peers
	reports := crossZoneBatchOf(z.peers) * max(1, z.peers)
	shortest := max(minSilence, maxMissedReports*crossZoneInterval)
	if !t.isRegionLarge() {
		interval := crossZoneInterval * time.Duration(others) / time.Duration(reports)
		return max(shortest, maxMissedReports*interval)
	}
	reports *= 1 + t.zonePeerCount()
	interval := crossZoneInterval * time.Duration(others) / time.Duration(reports)
	// The reports to a whole zone come at random times and not in turn.
	return max(shortest, 2*maxMissedReports*interval+spreadTime)
}
