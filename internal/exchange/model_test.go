package exchange

import (
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/registry"
)

// maxInbox is the number of reports that a socket has room for. Later ones are lost.
const maxInbox = 160

// modelDaemon is a daemon with the real follower and peer table. The model carries
// its reports and the items that it fetches.
type modelDaemon struct {
	addr netip.Addr
	zone int
	link *storeLink
	// storeState is how the store treats the daemon's calls.
	storeState string
	follower   *registry.Follower
	table      *PeerTable
	sequence   uint64
	dead       bool
	// frozenUntil is when the daemon runs again; zero while it runs. Reports wait in its
	// inbox. The follower's goroutine reads frozen.
	frozenUntil time.Time
	frozen      atomic.Bool
	inbox       []sentReport
	version     uint64             // of the configuration at the last check
	position    directory.Position // of the directory at the last check
	// servedSince is the time since which the store has served the daemon, zero while
	// it does not.
	servedSince time.Time
}

// sentReport is a report on its way to a daemon.
type sentReport struct {
	from   *modelDaemon
	report Report
}

// handle handles a report as Exchange does.
func (d *modelDaemon) handle(s sentReport, now time.Time) {
	if d.table.RecordReport(s.from.addr, s.report, now) {
		d.follower.Confirm(s.report.Position, s.report.Confirmation, s.report.Age, now)
	}
}

// freeze stops the daemon for a time. Its calls to the store get no answer.
func (d *modelDaemon) freeze(now time.Time, length time.Duration) {
	if length > 0 && !d.dead {
		d.frozenUntil, d.servedSince = now.Add(length), time.Time{}
		d.frozen.Store(true)
		d.link.setState(silent)
	}
}

// wake lets a frozen daemon run again. It reads the reports that have waited.
func (d *modelDaemon) wake(now time.Time) {
	d.frozenUntil = time.Time{}
	d.frozen.Store(false)
	d.link.setState(d.storeState)
	if d.storeState == served {
		d.servedSince = now
	}
	d.receive(now)
}

// modelRole is the role of a model daemon. Its follower stands still while it is frozen.
type modelRole struct{ *modelDaemon }

func (r modelRole) ShouldWatch(now time.Time) bool {
	for r.frozen.Load() {
		time.Sleep(10 * time.Millisecond)
		now = time.Now()
	}
	return r.table.ShouldWatch(now)
}

func (r modelRole) FailingPeers(now time.Time) int { return r.table.FailingPeers(now) }

// receive reads the reports that have arrived.
func (d *modelDaemon) receive(now time.Time) {
	for _, s := range d.inbox {
		d.handle(s, now)
	}
	d.inbox = nil
}

// model is a region of daemons with their links.
type model struct {
	// maxChangeDelay is the time within which a change must be in force.
	maxChangeDelay time.Duration
	daemons        []*modelDaemon
	byAddr         map[netip.Addr]*modelDaemon
	// isolatedZone is the index of the zone that is cut off from the others, -1 for
	// none.
	isolatedZone int
	// responses are the fetched items in transit.
	responses []response
	transfers int
	// slowReports lets each report arrive a round later than it was sent.
	slowReports bool
	// writtenAt holds the times at which versions 1, 2 and so on were written.
	writtenAt []time.Time
	// evacuated is set while the operator wants modelZone to be evacuated, since evacuationAt.
	evacuated    bool
	evacuationAt time.Time
	// violation describes the first violation of the bounds, empty for none.
	violation string
}

// response is a reading that a daemon has fetched from a peer.
type response struct {
	to      *modelDaemon
	reading registry.Reading
	arrives time.Time
}

// newModel returns a model with the given number of daemons in each zone.
func newModel(store *sharedStore, zones []int, maxChangeDelay time.Duration) *model {
	m := &model{maxChangeDelay: maxChangeDelay, byAddr: map[netip.Addr]*modelDaemon{}, isolatedZone: -1}
	b := directory.NewBuilder()
	watch := registry.WatchTimesFor(recoveryTime, maxChangeDelay)
	for zone, n := range zones {
		for i := range n {
			d := &modelDaemon{addr: addr(zone, i+1), zone: zone, storeState: served, link: &storeLink{store: store, state: served, broken: make(chan struct{})}}
			d.follower = registry.NewFollower(registry.Options{
				Source: d.link, Decoder: modelDecoder{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Watch: watch,
			})
			d.table = NewPeerTable(PeerTableOptions{
				Self: d.addr, Zone: zoneName(zone), MaxAge: watch.MaxAge(),
				OwnState: func(now time.Time) (directory.Position, time.Duration) {
					return d.follower.Position(), d.follower.Age(now)
				},
			})
			d.servedSince = time.Now().Add(-recoveryTime)
			m.daemons = append(m.daemons, d)
			m.byAddr[d.addr] = d
			b.Apply([]directory.Change{{VM: &directory.VM{Name: d.addr.String(), Zone: zoneName(zone), Addr: d.addr}}}, directory.Position{Revision: 1}, time.Now())
		}
	}
	known := b.Build()
	for _, d := range m.daemons {
		d.table.Apply(known, time.Now())
	}
	return m
}

// reaches reports whether messages between two daemons arrive.
func (m *model) reaches(a, b *modelDaemon) bool {
	return !a.dead && !b.dead && (a.zone == b.zone || a.zone != m.isolatedZone && b.zone != m.isolatedZone)
}

// maxTransferTime is the longest time that fetched items are in transit. Two transfers
// of three take a half or a third of it, so that readings can overtake each other.
const maxTransferTime = 3 * crossZoneInterval

// deliver merges the readings that have arrived.
func (m *model) deliver(now time.Time) {
	m.responses = slices.DeleteFunc(m.responses, func(r response) bool {
		if now.Before(r.arrives) {
			return false
		}
		if !r.to.dead && r.to.frozenUntil.IsZero() {
			r.to.follower.Merge(r.reading, "peer")
		}
		return true
	})
}

// round lets each daemon send its reports for 100 ms and fetch what it lacks.
func (m *model) round(now time.Time) {
	m.deliver(now)
	for _, d := range m.daemons {
		switch {
		case d.frozenUntil.IsZero():
			d.receive(now)
		case !now.Before(d.frozenUntil):
			d.wake(now)
		}
	}
	for _, d := range m.daemons {
		if d.dead || !d.frozenUntil.IsZero() {
			continue
		}
		d.sequence++
		confirmation, age := d.follower.Freshness(now)
		report := Report{
			VM: d.addr.String(), Zone: zoneName(d.zone), Start: 1, Sequence: d.sequence, Position: d.follower.Position(),
			Confirmation: confirmation, Age: min(maxAge, age), Watching: d.follower.Watching(), StoreFailing: d.follower.StoreFailing(), Watchers: d.table.Watchers(now), Zones: d.table.HeardZones(now),
		}
		peers := slices.Clone(d.table.NextZoneRound().Peers)
		peers = append(peers, d.table.NextCrossZoneBatch()...)
		for _, a := range peers {
			if to := m.byAddr[a]; m.reaches(d, to) {
				if len(to.inbox) < maxInbox {
					to.inbox = append(to.inbox, sentReport{d, report})
				}
				if !m.slowReports && to.frozenUntil.IsZero() {
					to.receive(now)
				}
			}
		}
	}
	for _, d := range m.daemons {
		if d.dead || !d.frozenUntil.IsZero() {
			continue
		}
		for _, a := range d.table.FetchCandidates(now) {
			if from := m.byAddr[a]; m.reaches(d, from) && from.frozenUntil.IsZero() {
				transferTime := maxTransferTime / time.Duration(1+m.transfers%3)
				m.transfers++
				m.responses = append(m.responses, response{d, from.follower.ChangesSince(d.follower.Position()), now.Add(transferTime)})
			}
		}
	}
}

// check sets violation if a daemon went back to an older version, or uses an outdated
// version after the maximum delay although the store has served the daemon for at
// least the recovery time.
func (m *model) check(now time.Time) {
	requiredVersion := uint64(0)
	for i, at := range m.writtenAt {
		if now.Sub(at) > m.maxChangeDelay {
			requiredVersion = uint64(i + 1)
		}
	}
	for _, d := range m.daemons {
		version := uint64(0)
		if current := d.follower.Current(); current != nil {
			version = current.Config.Version
		}
		connected := !d.servedSince.IsZero() && now.Sub(d.servedSince) >= recoveryTime
		switch {
		case m.violation != "" || d.dead || !d.frozenUntil.IsZero():
		case version < d.version || d.position.IsAfter(d.follower.Position()):
			m.violation = fmt.Sprintf("%s went back from version %d, position %s to version %d, position %s",
				d.addr, d.version, d.position, version, d.follower.Position())
		case connected && version < requiredVersion:
			m.violation = fmt.Sprintf("%s uses version %d for more than %s after version %d was written", d.addr, version, m.maxChangeDelay, requiredVersion)
		}
		d.version, d.position = version, d.follower.Position()
		if connected {
			m.checkEvacuation(d, now)
		}
	}
}

// checkEvacuation sets violation if a daemon that the store serves does not follow the last
// evacuation or its end after the maximum delay. One that it knows to be lost by a restore may
// outlast its end.
func (m *model) checkEvacuation(d *modelDaemon, now time.Time) {
	current := d.follower.Current()
	if m.violation != "" || d.dead || !d.frozenUntil.IsZero() || current == nil || now.Sub(m.evacuationAt) <= m.maxChangeDelay {
		return
	}
	in := current.Evacuations()
	if got := len(in) > 0; got != m.evacuated && (m.evacuated || !in[0].Lost) {
		m.violation = fmt.Sprintf("%s: zone evacuated: %v more than %s after the operator wrote %v", d.addr, got, m.maxChangeDelay, m.evacuated)
	}
}
