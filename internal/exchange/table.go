// Package exchange lets entry daemons tell each other how busy the backend
// servers are and how new their directories are, and hands on directory items,
// so that few daemons have to ask the store.
package exchange

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
)

// watchingZones is how many zones have a daemon that watches the store. The
// second one goes on while the first is cut off or its connection is silent.
const watchingZones = 2

// Times and rates of reports.
const (
	// crossZoneInterval and crossZoneBatch bound what a daemon sends to other
	// zones: 40 datagrams a second, whatever the number of daemons.
	crossZoneInterval = 100 * time.Millisecond
	crossZoneBatch    = 4
	// zoneIntervalPerPeer bounds what a daemon sends in its own zone to 200
	// datagrams a second, and zoneLeast the rate when it has few peers.
	zoneIntervalPerPeer = 5 * time.Millisecond
	zoneLeast           = 10 * time.Millisecond
	// heartbeat is the longest pause between reports to a zone peer, unless the
	// rate bound asks for more.
	heartbeat = 100 * time.Millisecond
	// missedReports is how many reports in a row may be lost before a peer or a
	// zone counts as silent, and leastSilence the shortest time for that.
	missedReports = 5
	leastSilence  = 400 * time.Millisecond
	// forgetAfter is how long a peer is kept after its last report although its
	// registration has vanished: the store may have dropped the keys of a machine
	// whose calls it refuses, and that machine needs its peers the most.
	forgetAfter = time.Minute
	// behindGrace is how long the peers may take to hand on what is new.
	behindGrace = 500 * time.Millisecond
)

// Report is what a daemon says of itself.
type Report struct {
	VM, Zone string
	// Start tells two processes of one VM apart; Sequence orders their reports.
	Start, Sequence uint64
	Revision        uint64
	// Age is the time since the revision was confirmed to be the newest.
	Age               time.Duration
	Watching, Leaving bool
	// Load is what the sender knows of the servers.
	Load placement.Load
}

// peer is another daemon.
type peer struct {
	addr netip.Addr
	zone string
	last Report
	seen time.Time
}

// PeerTable is what a daemon knows of its peers. It decides which daemons watch the
// store. It is safe for concurrent use.
type PeerTable struct {
	self netip.Addr
	zone string
	// maxAge is the age of a directory from which on a daemon asks the store
	// itself.
	maxAge time.Duration
	own    func(now time.Time) (revision uint64, age time.Duration)

	mu    sync.Mutex
	seeds []netip.Addr
	peers map[netip.Addr]*peer
	// quietSince is when a zone was first listened to.
	quietSince map[string]time.Time
	// behind is since when a peer has been known to have a higher revision.
	behind time.Time
	newest uint64
}

// PeerTableOptions are what a Table is built from.
type PeerTableOptions struct {
	Self   netip.Addr
	Zone   string
	Seeds  []netip.Addr
	MaxAge time.Duration
	// OwnState returns the revision and the age of this daemon's directory.
	OwnState func(now time.Time) (revision uint64, age time.Duration)
}

// NewPeerTable returns a Table that knows the seeds only.
func NewPeerTable(o PeerTableOptions) *PeerTable {
	return &PeerTable{
		self: o.Self, zone: o.Zone, maxAge: o.MaxAge, own: o.OwnState, seeds: o.Seeds,
		peers: map[netip.Addr]*peer{}, quietSince: map[string]time.Time{},
	}
}

// MaxAge returns the age of a directory from which on a daemon asks the store
// itself.
func (t *PeerTable) MaxAge() time.Duration { return t.maxAge }

// SetSeeds replaces the addresses from the settings.
func (t *PeerTable) SetSeeds(seeds []netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
}

// PeerCounts returns how many daemons are known, and how many of them have been
// heard recently.
func (t *PeerTable) PeerCounts(now time.Time) (known, live int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.seen.IsZero() && now.Sub(p.seen) <= t.silence(p.zone) {
			live++
		}
	}
	return len(t.peers), live
}

// Apply takes over the registered daemons.
func (t *PeerTable) Apply(d *directory.Directory, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, vm := range d.VMs() {
		if addr != t.self && t.peers[addr] == nil {
			t.peers[addr] = &peer{addr: addr, zone: vm.Zone}
		}
		if t.quietSince[vm.Zone].IsZero() {
			t.quietSince[vm.Zone] = now
		}
	}
	for addr, p := range t.peers {
		heard := !p.seen.IsZero() && now.Sub(p.seen) <= forgetAfter
		if d.VMs()[addr] == nil && !heard && !slices.Contains(t.seeds, addr) {
			delete(t.peers, addr)
		}
	}
}

// Allowed reports whether an address may be a daemon: it is or was recently
// registered in the store, or is named in the settings.
func (t *PeerTable) Allowed(addr netip.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[addr] != nil || slices.Contains(t.seeds, addr)
}

// RecordReport takes over a report. It reports false for one that is older than what
// is known.
func (t *PeerTable) RecordReport(from netip.Addr, r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[from]
	if p == nil {
		p = &peer{addr: from}
		t.peers[from] = p
	}
	if t.outdated(p, r, now) {
		return false
	}
	p.zone, p.last, p.seen = r.Zone, r, now
	if t.quietSince[r.Zone].IsZero() {
		t.quietSince[r.Zone] = now
	}
	if r.Revision > t.newest {
		t.newest = r.Revision
	}
	t.noteProgress(now)
	return true
}

// outdated reports whether a report is older than the last one. The start is a
// time of day, which may have stepped back between two processes of a VM: after
// a pause an earlier start is a new process.
func (t *PeerTable) outdated(p *peer, r Report, now time.Time) bool {
	if r.Start == p.last.Start {
		return r.Sequence <= p.last.Sequence
	}
	return r.Start < p.last.Start && now.Sub(p.seen) < leastSilence
}

// noteProgress updates the time since which a higher revision has been known.
func (t *PeerTable) noteProgress(now time.Time) {
	revision, _ := t.own(now)
	switch {
	case revision >= t.newest:
		t.behind = time.Time{}
	case t.behind.IsZero():
		t.behind = now
	}
}

// ShouldWatch implements registry.WatcherRole. A daemon watches the store if no daemon of
// its zone with a lower address does and its zone is one of the first that are
// covered, if its directory has not been confirmed for too long, or if it lacks a
// revision that the peers did not hand on.
//
// A daemon whose calls fail does not count as watching, so the next one takes
// over with its next report; its directory, which the peers keep confirmed, would
// hide the failure.
func (t *PeerTable) ShouldWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteProgress(now)
	if _, age := t.own(now); age > t.maxAge {
		return true
	}
	if !t.behind.IsZero() && now.Sub(t.behind) > behindGrace {
		return true
	}
	covered := map[string]bool{}
	for _, p := range t.peers {
		if !t.fresh(p, now) {
			continue
		}
		if p.zone == t.zone && p.last.Watching && p.addr.Less(t.self) {
			return false
		}
		if p.zone < t.zone {
			covered[p.zone] = true
		}
	}
	return len(covered) < watchingZones
}

// fresh reports whether the peer is alive and up to date.
func (t *PeerTable) fresh(p *peer, now time.Time) bool {
	since := now.Sub(p.seen)
	return !p.seen.IsZero() && !p.last.Leaving && since <= t.silence(p.zone) && p.last.Age+since <= t.maxAge
}

// silence is how long a peer may send nothing.
func (t *PeerTable) silence(zone string) time.Duration {
	if zone == t.zone {
		return max(leastSilence, missedReports*t.zoneHeartbeat())
	}
	rounds := (t.count(func(p *peer) bool { return p.zone != zone }) + crossZoneBatch) / crossZoneBatch
	return max(leastSilence, missedReports*time.Duration(rounds)*crossZoneInterval)
}

func (t *PeerTable) zoneHeartbeat() time.Duration { return max(heartbeat, t.zoneInterval()) }

// zoneInterval is the shortest time between two reports to the own zone.
func (t *PeerTable) zoneInterval() time.Duration {
	n := t.count(func(p *peer) bool { return p.zone == t.zone })
	return max(zoneLeast, time.Duration(n)*zoneIntervalPerPeer)
}

func (t *PeerTable) count(which func(*peer) bool) int {
	n := 0
	for _, p := range t.peers {
		if which(p) {
			n++
		}
	}
	return n
}

// ZoneSilent reports whether nothing has been heard from any daemon of another zone
// for so long that the zone is probably cut off.
func (t *PeerTable) ZoneSilent(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.zone || t.quietSince[zone].IsZero() {
		return false
	}
	heard, daemons := t.quietSince[zone], 0
	for _, p := range t.peers {
		if p.zone != zone {
			continue
		}
		daemons++
		if p.seen.After(heard) {
			heard = p.seen
		}
	}
	// A zone without daemons has servers that may be reached all the same.
	return daemons > 0 && now.Sub(heard) > t.zoneSilence(zone)
}

// zoneSilence is how long a whole zone may send nothing: its daemons take
// turns.
func (t *PeerTable) zoneSilence(zone string) time.Duration {
	daemons := max(1, t.count(func(p *peer) bool { return p.zone == zone }))
	others := 1 + t.count(func(p *peer) bool { return p.zone != zone })
	interval := crossZoneInterval * time.Duration(others) / time.Duration(crossZoneBatch*daemons)
	return max(leastSilence, missedReports*max(crossZoneInterval, interval))
}

// FetchCandidates returns the peers that have a higher revision than this daemon,
// those of the own zone first. Without a directory it returns all peers and
// seeds, because any of them may help.
func (t *PeerTable) FetchCandidates(now time.Time) []netip.Addr {
	t.mu.Lock()
	defer t.mu.Unlock()
	revision, _ := t.own(now)
	var near, far []netip.Addr
	for _, p := range t.peers {
		switch {
		case revision > 0 && (p.last.Revision <= revision || now.Sub(p.seen) > t.silence(p.zone)):
		case p.zone == t.zone:
			near = append(near, p.addr)
		default:
			far = append(far, p.addr)
		}
	}
	if revision == 0 {
		for _, s := range t.seeds {
			if s != t.self && t.peers[s] == nil {
				far = append(far, s)
			}
		}
	}
	return append(near, far...)
}

// ZonePeers returns the daemons of the own zone, and the shortest and longest
// time until they are sent the next report.
func (t *PeerTable) ZonePeers() (peers []netip.Addr, least, most time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.zone == t.zone {
			peers = append(peers, p.addr)
		}
	}
	return peers, t.zoneInterval(), t.zoneHeartbeat()
}

// OtherZonePeers returns the daemons of other zones, and the seeds of which nothing
// is known yet, in the order of their addresses.
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
