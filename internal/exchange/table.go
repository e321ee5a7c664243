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

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
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
	// Position is the position of the sender's directory, Confirmation the last one that
	// it was the newest, and Age the time since then.
	Position     directory.Position
	Confirmation registry.Confirmation
	Age          time.Duration
	// Watching reports whether the sender watches the store, Leaving whether it is
	// about to stop.
	Watching, Leaving bool
	// StoreFailing reports whether the sender tries to watch the store and its calls fail.
	StoreFailing bool
	// Load is the load of the servers as the sender knows it.
	Load placement.Load
	// Evidence is what the sender knows of the servers.
	Evidence evidence.Report
	// Watchers holds the age of the last report of each watcher of the sender's zone
	// that the sender knows of.
	Watchers map[netip.Addr]time.Duration
	// Zones holds the age of the last report that the sender's zone got from each other
	// zone, as far as the sender knows.
	Zones map[ZoneID]time.Duration
}

// ZoneID identifies an availability zone in reports. It is a hash of the name.
type ZoneID = evidence.ZoneID

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
	// ownState returns the position and the age of this daemon's directory.
	ownState func(now time.Time) (position directory.Position, age time.Duration)

	mu    sync.Mutex
	seeds []netip.Addr
	peers map[netip.Addr]*peer
	zones map[string]*zoneState
	// behindSince is the time since which some peer has been at a later position, zero if
	// none has. newestPosition is the latest position reported by a peer.
	behindSince    time.Time
	newestPosition directory.Position
	// startJitter spreads the first watches of daemons that know only seeds.
	startJitter time.Duration
	// unwatchedSince is the time since which no daemon with precedence has watched the
	// store, zero while one does.
	unwatchedSince time.Time
	// zoneRotation and crossZoneRotation are the orders in which peers get reports.
	zoneRotation, crossZoneRotation rotation
}

// zoneState is what a daemon knows of an availability zone.
type zoneState struct {
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
	// OwnState returns the position and the age of this daemon's directory.
	OwnState func(now time.Time) (position directory.Position, age time.Duration)
}

// NewPeerTable returns a PeerTable without peers other than the seeds.
func NewPeerTable(o PeerTableOptions) *PeerTable {
	return &PeerTable{
		self: o.Self, ownZone: o.Zone, maxAge: o.MaxAge, ownState: o.OwnState, seeds: o.Seeds,
		peers: map[netip.Addr]*peer{}, zones: map[string]*zoneState{}, startJitter: rand.N(o.MaxAge / 2),
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
		t.getOrAddZone(vm.Zone, now)
	}
	for addr, p := range t.peers {
		recent := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= peerRetention
		if d.VMs()[addr] == nil && !recent && !slices.Contains(t.seeds, addr) {
			t.zones[p.zone].peers--
			delete(t.peers, addr)
		}
	}
}

// getOrAddZone returns the state of a zone, which it adds if it is new.
func (t *PeerTable) getOrAddZone(name string, now time.Time) *zoneState {
	z := t.zones[name]
	if z == nil {
		z = &zoneState{id: evidence.ZoneIDOf(name), listeningSince: now}
		t.zones[name] = z
	}
	return z
}

func (t *PeerTable) addPeer(addr netip.Addr, zone string, now time.Time) *peer {
	p := &peer{addr: addr, zone: zone, knownSince: now}
	t.peers[addr] = p
	t.getOrAddZone(zone, now).peers++
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
		t.getOrAddZone(r.Zone, now).peers++
	}
	p.lastReport, p.lastSeen = r, now
	t.getOrAddZone(r.Zone, now).heardAt = now
	if r.Zone == t.ownZone {
		t.recordWatchers(p, r, now)
		t.recordZones(r, now)
	}
	if r.Position.IsAfter(t.newestPosition) {
		t.newestPosition = r.Position
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

// updateBehindSince updates behindSince from the position of the own directory.
func (t *PeerTable) updateBehindSince(now time.Time) {
	own, _ := t.ownState(now)
	switch {
	case !t.newestPosition.IsAfter(own):
		t.behindSince = time.Time{}
	case t.behindSince.IsZero():
		t.behindSince = now
	}
}

// zonePeerCount returns the number of peers in the own zone.
func (t *PeerTable) zonePeerCount() int {
	if z := t.zones[t.ownZone]; z != nil {
		return z.peers
	}
	return 0
}

func (t *PeerTable) otherZonePeerCount() int { return len(t.peers) - t.zonePeerCount() }

// FetchCandidates returns the live peers that are at a later position than this daemon,
// those of the own zone first. If this daemon has no directory, it returns all peers
// and seeds, since any of them may have one.
func (t *PeerTable) FetchCandidates(now time.Time) []netip.Addr {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, _ := t.ownState(now)
	var sameZone, others []netip.Addr
	for _, p := range t.peers {
		switch {
		case !own.IsZero() && (!p.lastReport.Position.IsAfter(own) || now.Sub(p.lastSeen) > t.maxSilence(p.zone)):
		case p.zone == t.ownZone:
			sameZone = append(sameZone, p.addr)
		default:
			others = append(others, p.addr)
		}
	}
	if own.IsZero() {
		for _, s := range t.seeds {
			if s != t.self && t.peers[s] == nil {
				others = append(others, s)
			}
		}
	}
	return append(sameZone, others...)
}
