// Package exchange connects entry daemons. They report to each other the load of the
// backend servers and the revision of their directories, and fetch directory items
// from each other, so that only a few daemons have to call the store.
package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
)

// maxWatchingZones is the number of zones with a daemon that watches the store. The
// second one continues while the first is cut off or its connection is dead.
const maxWatchingZones = 2

// Timing and rate limits of reports.
const (
	// crossZoneInterval and crossZoneBatch limit the reports that a daemon sends to
	// other zones to 40 datagrams per second. Without a mesh, the daemons of a zone
	// tell each other what they hear, and largeCrossZoneBatch is enough.
	crossZoneInterval   = 100 * time.Millisecond
	crossZoneBatch      = 4
	largeCrossZoneBatch = 1
	// maxMeshPeers is the number of peers in the own zone up to which each report goes
	// to all of them. Beyond it, a report about the load would be older than the
	// requests that it counts, so that reports go to a few peers in turn.
	maxMeshPeers = 20
	// zoneIntervalPerPeer limits the reports that a daemon sends in its own zone to
	// 200 datagrams per second. minZoneInterval is the minimum time between two rounds
	// of reports if there are few peers.
	zoneIntervalPerPeer = 5 * time.Millisecond
	minZoneInterval     = 10 * time.Millisecond
	// zoneBatch is the number of peers that get a report at a time in a zone without a
	// mesh. Without news, that is 40 datagrams per second for any number of daemons.
	zoneBatch = 4
	// heartbeatInterval is the maximum time between two rounds of reports to the zone.
	heartbeatInterval = 100 * time.Millisecond
	// maxMissedReports is the number of reports in a row that may be lost before a
	// peer or a zone counts as silent, and minSilence the minimum time for that.
	maxMissedReports = 5
	minSilence       = 400 * time.Millisecond
	// peerRetention is how long a peer without a registration is kept after its last
	// report. The store may have dropped the keys of a machine whose calls it refuses,
	// and that machine depends on its peers.
	peerRetention = time.Minute
	// maxWatcherSilence is how long the last report of a watcher may be ago, whether it
	// came from the watcher or was passed on, until another daemon takes over. In a
	// zone of 65 daemons, news reaches all of them within half of it.
	maxWatcherSilence = time.Second
	// spreadTime is the time in which most daemons of a large zone learn what one of them
	// has heard.
	spreadTime = 3 * heartbeatInterval
	// takeoverStep is multiplied by the number of daemons with precedence to get the
	// time for which a daemon leaves the watch to them, up to maxTakeoverDelay.
	takeoverStep     = 25 * time.Millisecond
	maxTakeoverDelay = 500 * time.Millisecond
	// introductionTime is how long a daemon that was registered, but has not reported
	// yet, counts as alive.
	introductionTime = time.Second
	// catchUpGrace is how long a daemon may be behind its peers before it watches the
	// store itself.
	catchUpGrace = 500 * time.Millisecond
)

// Report is a daemon's periodic message about its own state.
type Report struct {
	VM, Zone string
	// Start is the start time of the process in Unix nanoseconds, and Sequence the
	// number of the report in that process.
	Start, Sequence uint64
	// Revision is the revision of the sender's directory, Age the time since that was
	// confirmed to be the newest one.
	Revision uint64
	Age      time.Duration
	// Watching reports whether the sender watches the store, Leaving whether it is
	// about to stop.
	Watching, Leaving bool
	// Load is the load of the servers as the sender knows it.
	Load placement.Load
	// Watchers holds the age of the last report of each watcher of the sender's zone
	// that the sender knows of.
	Watchers map[netip.Addr]time.Duration
	// Zones holds the age of the last report that the sender's zone got from each other
	// zone, as far as the sender knows.
	Zones map[ZoneID]time.Duration
}

// ZoneID identifies an availability zone in reports. It is a hash of the name.
type ZoneID uint32

func zoneID(name string) ZoneID { return ZoneID(xxhash.Sum64String(name)) }

// peer is another daemon. Its lastSeen is the time of its last report, zero if there
// was none.
type peer struct {
	addr       netip.Addr
	zone       string
	lastReport Report
	lastSeen   time.Time
	// knownSince is when the peer became known.
	knownSince time.Time
	// watchingAt is the time of the last report, direct or passed on, in which the peer
	// watches the store. notWatchingAt is that of the last direct report in which it
	// does not.
	watchingAt, notWatchingAt time.Time
}

// PeerTable holds the state of a daemon's peers and decides whether the daemon
// watches the store. It is safe for concurrent use.
type PeerTable struct {
	self    netip.Addr
	ownZone string
	// maxAge is the age of the directory above which a daemon watches the store
	// itself.
	maxAge time.Duration
	// ownState returns the revision and the age of this daemon's directory.
	ownState func(now time.Time) (revision uint64, age time.Duration)

	mu    sync.Mutex
	seeds []netip.Addr
	peers map[netip.Addr]*peer
	zones map[string]*zone
	// behindSince is the time since which some peer has had a higher revision, zero if
	// none has. newestRevision is the highest revision reported by a peer.
	behindSince    time.Time
	newestRevision uint64
	// startJitter spreads the first watches of daemons that know only seeds.
	startJitter time.Duration
	// unwatchedSince is the time since which no daemon with precedence has watched the
	// store, zero while one does.
	unwatchedSince time.Time
	// zoneRotation and crossZoneRotation are the orders in which peers get reports.
	zoneRotation, crossZoneRotation rotation
}

// zone is what a daemon knows of an availability zone.
type zone struct {
	id ZoneID
	// peers is the number of known daemons.
	peers int
	// listeningSince is when the zone became known.
	listeningSince time.Time
	// heardAt is when this daemon, or in a large zone one that reports to it, last got
	// a report from the zone.
	heardAt time.Time
}

// PeerTableOptions configures a PeerTable.
type PeerTableOptions struct {
	// Self and Zone are the address and the availability zone of this daemon.
	Self netip.Addr
	Zone string
	// Seeds are the addresses of daemons from the settings.
	Seeds []netip.Addr
	// MaxAge is the age of the directory above which this daemon watches the store
	// itself.
	MaxAge time.Duration
	// OwnState returns the revision and the age of this daemon's directory.
	OwnState func(now time.Time) (revision uint64, age time.Duration)
}

// NewPeerTable returns a PeerTable without peers other than the seeds.
func NewPeerTable(o PeerTableOptions) *PeerTable {
	return &PeerTable{
		self: o.Self, ownZone: o.Zone, maxAge: o.MaxAge, ownState: o.OwnState, seeds: o.Seeds,
		peers: map[netip.Addr]*peer{}, zones: map[string]*zone{}, startJitter: rand.N(o.MaxAge / 2),
	}
}

// MaxAge returns the age of the directory above which this daemon watches the store
// itself.
func (t *PeerTable) MaxAge() time.Duration { return t.maxAge }

// SetSeeds replaces the seeds, after a change of the settings.
func (t *PeerTable) SetSeeds(seeds []netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
}

// PeerCounts returns the number of known peers, and how many of them have sent a
// report recently.
func (t *PeerTable) PeerCounts(now time.Time) (known, live int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= t.maxSilence(p.zone) {
			live++
		}
	}
	return len(t.peers), live
}

// Apply adds the registered daemons of a directory as peers. It removes peers that are
// not registered any more, unless they are seeds or have sent a report within
// peerRetention.
func (t *PeerTable) Apply(d *directory.Directory, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, vm := range d.VMs() {
		if addr != t.self && t.peers[addr] == nil {
			t.addPeer(addr, vm.Zone, now)
		}
		t.zone(vm.Zone, now)
	}
	for addr, p := range t.peers {
		recent := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= peerRetention
		if d.VMs()[addr] == nil && !recent && !slices.Contains(t.seeds, addr) {
			t.zones[p.zone].peers--
			delete(t.peers, addr)
		}
	}
}

// zone returns the state of a zone, which it adds if it is new.
func (t *PeerTable) zone(name string, now time.Time) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{id: zoneID(name), listeningSince: now}
		t.zones[name] = z
	}
	return z
}

func (t *PeerTable) addPeer(addr netip.Addr, zone string, now time.Time) *peer {
	p := &peer{addr: addr, zone: zone, knownSince: now}
	t.peers[addr] = p
	t.zone(zone, now).peers++
	return p
}

// Allowed reports whether addr may send reports and make calls: it is a seed, is
// registered, or was registered recently.
func (t *PeerTable) Allowed(addr netip.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[addr] != nil || slices.Contains(t.seeds, addr)
}

// RecordReport records a report of a peer. It returns false, and ignores the report,
// if a newer one is known.
func (t *PeerTable) RecordReport(from netip.Addr, r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[from]
	if p == nil {
		p = t.addPeer(from, r.Zone, now)
	}
	if t.isOutdated(p, r, now) {
		return false
	}
	if p.zone != r.Zone {
		t.zones[p.zone].peers--
		p.zone = r.Zone
		t.zone(r.Zone, now).peers++
	}
	p.lastReport, p.lastSeen = r, now
	t.zone(r.Zone, now).heardAt = now
	if r.Zone == t.ownZone {
		t.recordWatchers(p, r, now)
		t.recordZones(r, now)
	}
	if r.Revision > t.newestRevision {
		t.newestRevision = r.Revision
	}
	t.updateBehindSince(now)
	return true
}

// isOutdated reports whether a report is older than the last one of the peer. The
// wall clock, and with it Start, may have stepped back between two processes of a VM.
// An earlier Start therefore counts as a new process once the peer has been silent
// for minSilence.
func (t *PeerTable) isOutdated(p *peer, r Report, now time.Time) bool {
	if r.Start == p.lastReport.Start {
		return r.Sequence <= p.lastReport.Sequence
	}
	return r.Start < p.lastReport.Start && now.Sub(p.lastSeen) < minSilence
}

// updateBehindSince updates behindSince from the revision of the own directory.
func (t *PeerTable) updateBehindSince(now time.Time) {
	revision, _ := t.ownState(now)
	switch {
	case revision >= t.newestRevision:
		t.behindSince = time.Time{}
	case t.behindSince.IsZero():
		t.behindSince = now
	}
}

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
	if _, age := t.ownState(now); age > t.maxAge+t.maxAgeExtension(now) {
		return true
	}
	if !t.behindSince.IsZero() && now.Sub(t.behindSince) > catchUpGrace {
		return true
	}
	if _, age := t.ownState(now); t.knowsOnlySeeds() && age <= t.maxAge/2+t.startJitter {
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

// zonePeerCount returns the number of peers in the own zone.
func (t *PeerTable) zonePeerCount() int {
	if z := t.zones[t.ownZone]; z != nil {
		return z.peers
	}
	return 0
}

func (t *PeerTable) otherZonePeerCount() int { return len(t.peers) - t.zonePeerCount() }

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
func (t *PeerTable) maxZoneSilence(z *zone) time.Duration {
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

// FetchCandidates returns the live peers that have a higher revision than this daemon,
// those of the own zone first. If this daemon has no directory, it returns all peers
// and seeds, since any of them may have one.
func (t *PeerTable) FetchCandidates(now time.Time) []netip.Addr {
	t.mu.Lock()
	defer t.mu.Unlock()
	revision, _ := t.ownState(now)
	var sameZone, others []netip.Addr
	for _, p := range t.peers {
		switch {
		case revision > 0 && (p.lastReport.Revision <= revision || now.Sub(p.lastSeen) > t.maxSilence(p.zone)):
		case p.zone == t.ownZone:
			sameZone = append(sameZone, p.addr)
		default:
			others = append(others, p.addr)
		}
	}
	if revision == 0 {
		for _, s := range t.seeds {
			if s != t.self && t.peers[s] == nil {
				others = append(others, s)
			}
		}
	}
	return append(sameZone, others...)
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
