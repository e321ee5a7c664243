// Package exchange connects entry daemons. They report to each other the load of the
// backend servers and the revision of their directories, and fetch directory items
// from each other, so that only a few daemons have to call the store.
package exchange

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
)

// maxWatchingZones is the number of zones with a daemon that watches the store. The
// second one continues while the first is cut off or its connection is dead.
const maxWatchingZones = 2

// Timing and rate limits of reports.
const (
	// crossZoneInterval and crossZoneBatch limit the reports that a daemon sends to
	// other zones to 40 datagrams per second, whatever the number of daemons.
	crossZoneInterval = 100 * time.Millisecond
	crossZoneBatch    = 4
	// zoneIntervalPerPeer limits the reports that a daemon sends in its own zone to
	// 200 datagrams per second. minZoneInterval is the minimum time between two reports
	// if there are few peers.
	zoneIntervalPerPeer = 5 * time.Millisecond
	minZoneInterval     = 10 * time.Millisecond
	// heartbeatInterval is the maximum time between reports to a peer of the zone,
	// unless the rate limit requires more.
	heartbeatInterval = 100 * time.Millisecond
	// maxMissedReports is the number of reports in a row that may be lost before a
	// peer or a zone counts as silent, and minSilence the minimum time for that.
	maxMissedReports = 5
	minSilence       = 400 * time.Millisecond
	// peerRetention is how long a peer without a registration is kept after its last
	// report. The store may have dropped the keys of a machine whose calls it refuses,
	// and that machine depends on its peers.
	peerRetention = time.Minute
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
}

// peer is another daemon. Its lastSeen is the time of its last report, zero if there
// was none.
type peer struct {
	addr       netip.Addr
	zone       string
	lastReport Report
	lastSeen   time.Time
}

// PeerTable holds the state of a daemon's peers and decides whether the daemon
// watches the store. It is safe for concurrent use.
type PeerTable struct {
	self netip.Addr
	zone string
	// maxAge is the age of the directory above which a daemon watches the store
	// itself.
	maxAge time.Duration
	// ownState returns the revision and the age of this daemon's directory.
	ownState func(now time.Time) (revision uint64, age time.Duration)

	mu    sync.Mutex
	seeds []netip.Addr
	peers map[netip.Addr]*peer
	// listeningSince is the time at which each zone became known.
	listeningSince map[string]time.Time
	// behindSince is the time since which some peer has had a higher revision, zero if
	// none has. newestRevision is the highest revision reported by a peer.
	behindSince    time.Time
	newestRevision uint64
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
		self: o.Self, zone: o.Zone, maxAge: o.MaxAge, ownState: o.OwnState, seeds: o.Seeds,
		peers: map[netip.Addr]*peer{}, listeningSince: map[string]time.Time{},
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
			t.peers[addr] = &peer{addr: addr, zone: vm.Zone}
		}
		if t.listeningSince[vm.Zone].IsZero() {
			t.listeningSince[vm.Zone] = now
		}
	}
	for addr, p := range t.peers {
		recent := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= peerRetention
		if d.VMs()[addr] == nil && !recent && !slices.Contains(t.seeds, addr) {
			delete(t.peers, addr)
		}
	}
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
		p = &peer{addr: from}
		t.peers[from] = p
	}
	if t.isOutdated(p, r, now) {
		return false
	}
	p.zone, p.lastReport, p.lastSeen = r.Zone, r, now
	if t.listeningSince[r.Zone].IsZero() {
		t.listeningSince[r.Zone] = now
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

// ShouldWatch implements registry.WatcherRole. A daemon watches the store
//
//   - if no fresh daemon of its zone with a lower address watches, and fewer than
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
func (t *PeerTable) ShouldWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateBehindSince(now)
	if _, age := t.ownState(now); age > t.maxAge {
		return true
	}
	if !t.behindSince.IsZero() && now.Sub(t.behindSince) > catchUpGrace {
		return true
	}
	coveredZones := map[string]bool{}
	for _, p := range t.peers {
		if !t.isFresh(p, now) {
			continue
		}
		if p.zone == t.zone && p.lastReport.Watching && p.addr.Less(t.self) {
			return false
		}
		if p.zone < t.zone {
			coveredZones[p.zone] = true
		}
	}
	return len(coveredZones) < maxWatchingZones
}

// isFresh reports whether a peer is alive, is not leaving and has a directory that was
// confirmed within maxAge.
func (t *PeerTable) isFresh(p *peer, now time.Time) bool {
	sinceReport := now.Sub(p.lastSeen)
	return !p.lastSeen.IsZero() && !p.lastReport.Leaving && sinceReport <= t.maxSilence(p.zone) && p.lastReport.Age+sinceReport <= t.maxAge
}

// maxSilence returns how long a live peer of a zone may send no report.
func (t *PeerTable) maxSilence(zone string) time.Duration {
	if zone == t.zone {
		return max(minSilence, maxMissedReports*t.zoneHeartbeat())
	}
	rounds := (t.count(func(p *peer) bool { return p.zone != zone }) + crossZoneBatch) / crossZoneBatch
	return max(minSilence, maxMissedReports*time.Duration(rounds)*crossZoneInterval)
}

// zoneHeartbeat returns the maximum time between two reports to the own zone.
func (t *PeerTable) zoneHeartbeat() time.Duration { return max(heartbeatInterval, t.zoneInterval()) }

// zoneInterval returns the minimum time between two reports to the own zone.
func (t *PeerTable) zoneInterval() time.Duration {
	n := t.count(func(p *peer) bool { return p.zone == t.zone })
	return max(minZoneInterval, time.Duration(n)*zoneIntervalPerPeer)
}

// count returns the number of peers that match.
func (t *PeerTable) count(match func(*peer) bool) int {
	n := 0
	for _, p := range t.peers {
		if match(p) {
			n++
		}
	}
	return n
}

// ZoneSilent reports whether all daemons of another zone have been silent for so long
// that the zone is probably cut off.
func (t *PeerTable) ZoneSilent(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.zone || t.listeningSince[zone].IsZero() {
		return false
	}
	lastSeen, daemons := t.listeningSince[zone], 0
	for _, p := range t.peers {
		if p.zone != zone {
			continue
		}
		daemons++
		if p.lastSeen.After(lastSeen) {
			lastSeen = p.lastSeen
		}
	}
	// In a zone without daemons, silence does not tell whether servers are reachable.
	return daemons > 0 && now.Sub(lastSeen) > t.maxZoneSilence(zone)
}

// maxZoneSilence returns how long a whole zone may send no report. All daemons of the
// zone send reports in turn, so the more it has, the shorter the time.
func (t *PeerTable) maxZoneSilence(zone string) time.Duration {
	daemons := max(1, t.count(func(p *peer) bool { return p.zone == zone }))
	others := 1 + t.count(func(p *peer) bool { return p.zone != zone })
	interval := crossZoneInterval * time.Duration(others) / time.Duration(crossZoneBatch*daemons)
	return max(minSilence, maxMissedReports*max(crossZoneInterval, interval))
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
		case p.zone == t.zone:
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

// ZonePeers returns the peers of the own zone, and the minimum and maximum time until
// the next report to them.
func (t *PeerTable) ZonePeers() (peers []netip.Addr, minInterval, maxInterval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.zone == t.zone {
			peers = append(peers, p.addr)
		}
	}
	return peers, t.zoneInterval(), t.zoneHeartbeat()
}

// OtherZonePeers returns the peers of other zones and the seeds that are not known as
// peers yet, sorted by address.
func (t *PeerTable) OtherZonePeers() []netip.Addr {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []netip.Addr
	for _, p := range t.peers {
		if p.zone != t.zone {
			out = append(out, p.addr)
		}
	}
	for _, s := range t.seeds {
		if s != t.self && t.peers[s] == nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return out
}
