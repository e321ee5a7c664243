package exchange

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/peerapi"
)

// epoch is the time at which the tests start.
var epoch = time.Unix(0, 0)

// maxDirectoryAge is the MaxAge of the peer tables in the tests.
const maxDirectoryAge = 3200 * time.Millisecond

// addr returns the address of the nth daemon of a zone.
func addr(zone, n int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(n)}) }

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// member is one daemon of a modelled region.
type member struct {
	table    *PeerTable
	addr     netip.Addr
	zone     int
	revision uint64
	age      time.Duration
	sequence uint64
	dead     bool
	// refused reports whether the store refuses the daemon's calls.
	refused bool
}

// report returns the next report of a daemon.
func (m *member) report(now time.Time) Report {
	m.sequence++
	return Report{
		VM: m.addr.String(), Zone: zoneName(m.zone), Start: 1, Sequence: m.sequence, Position: directory.Position{Revision: m.revision}, Age: m.age,
		Watching: m.table.ShouldWatch(now) && !m.refused, Watchers: m.table.Watchers(now),
		Zones: m.table.HeardZones(now),
	}
}

// newRegion returns the daemons of a region, all registered, with the given number of
// them in each zone.
func newRegion(daemons ...int) []*member {
	var members []*member
	b := directory.NewBuilder()
	for zone, n := range daemons {
		for i := range n {
			m := &member{addr: addr(zone, i+1), zone: zone, revision: 1}
			m.table = NewPeerTable(PeerTableOptions{
				Self: m.addr, Zone: zoneName(zone), MaxAge: maxDirectoryAge,
				OwnState: func(time.Time) (directory.Position, time.Duration) {
					return directory.Position{Revision: m.revision}, m.age
				},
			})
			members = append(members, m)
			b.Apply([]directory.Change{{VM: &directory.VM{Name: m.addr.String(), Zone: zoneName(zone), Addr: m.addr}}}, directory.Position{Revision: 1}, epoch)
		}
	}
	d := b.Build()
	for _, m := range members {
		m.table.Apply(d, epoch)
	}
	return members
}

// exchangeReports delivers a report of each live daemon to all others. A non-nil cut
// reports whether the link between two zones is cut.
func exchangeReports(members []*member, now time.Time, cut func(a, b int) bool) {
	for _, from := range members {
		for _, to := range members {
			if from != to && !from.dead && !to.dead && (cut == nil || !cut(from.zone, to.zone)) {
				to.table.RecordReport(from.addr, from.report(now), now)
			}
		}
	}
}

// watchers returns the addresses of the live daemons that should watch the store.
func watchers(members []*member, now time.Time) []netip.Addr {
	var out []netip.Addr
	for _, m := range members {
		if !m.dead && m.table.ShouldWatch(now) {
			out = append(out, m.addr)
		}
	}
	return out
}

// Guards against calls to the store that grow with the fleet: two daemons watch,
// whatever its size.
func TestTwoDaemonsWatch(t *testing.T) {
	for _, daemons := range [][]int{{3, 3, 2}, {3, 2, 1, 2}, {16, 16, 16, 16, 16}} {
		is := is.New(t)
		members := newRegion(daemons...)
		exchangeReports(members, epoch, nil)
		is.Equal(watchers(members, epoch), []netip.Addr{addr(0, 1), addr(1, 1)})
	}
	is := is.New(t)
	members := newRegion(4)
	exchangeReports(members, epoch, nil)
	is.Equal(watchers(members, epoch), []netip.Addr{addr(0, 1)})
}

// Guards against a watcher that is not replaced after it died, left or lost its
// access to the store.
func TestTheNextDaemonTakesTheWatchOver(t *testing.T) {
	for name, end := range map[string]func(m *member){
		"dead": func(m *member) { m.dead = true },
		"old":  func(m *member) { m.age = maxDirectoryAge + time.Second },
		// The watcher of the other zone still confirms its directory.
		"refused by the store": func(m *member) { m.refused = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := newRegion(3, 3, 2)
			exchangeReports(members, epoch, nil)
			end(members[0])
			now := epoch.Add(time.Second)
			exchangeReports(members, now.Add(-heartbeatInterval), nil)
			exchangeReports(members, now, nil)
			is.True(contains(watchers(members, now), addr(0, 2)))
			is.True(!contains(watchers(members, now), addr(0, 3)))
		})
	}
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		members := newRegion(2)
		r := members[0].report(epoch)
		r.Leaving = true
		members[1].table.RecordReport(members[0].addr, r, epoch)
		is.True(members[1].table.ShouldWatch(epoch))
	})
}

// contains reports whether a is in list.
func contains(list []netip.Addr, a netip.Addr) bool {
	for _, x := range list {
		if x == a {
			return true
		}
	}
	return false
}

// Guards against a zone without a watcher while it is cut off from the others.
func TestEachSideOfACutWatches(t *testing.T) {
	is := is.New(t)
	members := newRegion(3, 3, 2)
	exchangeReports(members, epoch, nil)
	now := epoch.Add(10 * time.Second)
	exchangeReports(members, now, func(a, b int) bool { return a != b })
	is.Equal(watchers(members, now), []netip.Addr{addr(0, 1), addr(1, 1), addr(2, 1)})
}

// Guards against a daemon that stays behind because its peers report a higher revision
// but do not serve it, and against one that calls the store before its peers had time
// to serve it.
func TestDaemonThatIsBehindWatchesAfterAWhile(t *testing.T) {
	is := is.New(t)
	members := newRegion(3)
	exchangeReports(members, epoch, nil)
	last := members[2]
	members[0].revision = 5
	exchangeReports(members, epoch, nil)
	is.Equal(last.table.FetchCandidates(epoch), []netip.Addr{addr(0, 1)})
	is.True(!last.table.ShouldWatch(epoch))
	now := epoch.Add(catchUpGrace + time.Millisecond)
	exchangeReports(members, now, nil)
	is.True(last.table.ShouldWatch(now))
	last.revision = 5
	is.True(!last.table.ShouldWatch(now))
	is.Equal(len(last.table.FetchCandidates(now)), 0)
}

// Guards against a fleet that starts for the first time and watches the store as a
// whole: daemons whose first reading has no other daemons leave the watch to the seeds,
// but not for longer than their directories stay current.
func TestStartingDaemonsLeaveTheWatchToSeeds(t *testing.T) {
	is := is.New(t)
	age := time.Duration(0)
	newTable := func(self netip.Addr, seeds ...netip.Addr) *PeerTable {
		return NewPeerTable(PeerTableOptions{
			Self: self, Zone: zoneName(0), Seeds: seeds, MaxAge: maxDirectoryAge,
			OwnState: func(time.Time) (directory.Position, time.Duration) { return directory.Position{Revision: 1}, age },
		})
	}
	seed := addr(0, 1)
	other := newTable(addr(0, 2), seed)
	is.True(newTable(seed, seed).ShouldWatch(epoch))
	is.True(!other.ShouldWatch(epoch))
	age = maxDirectoryAge / 2
	is.True(!other.ShouldWatch(epoch))
	age = maxDirectoryAge // at the latest, so that not all daemons call at once
	is.True(other.ShouldWatch(epoch))
	age = 0
	is.True(newTable(addr(0, 2)).ShouldWatch(epoch)) // a site without seeds
}

// Guards against a daemon that relies on a directory which no peer confirms any more,
// because all are silent or have an old one.
func TestDaemonWithAnOldDirectoryWatches(t *testing.T) {
	is := is.New(t)
	members := newRegion(3)
	exchangeReports(members, epoch, nil)
	members[2].age = maxDirectoryAge + time.Millisecond
	is.True(members[2].table.ShouldWatch(epoch))
}

// Guards against a zone that is taken for cut off when some of its daemons restart or
// datagrams are lost, and against a cut that is noticed only after more than a second
// in a region of 8 daemons.
func TestSilentZone(t *testing.T) {
	is := is.New(t)
	members := newRegion(3, 3, 2)
	self := members[0].table
	is.True(!self.ZoneSilent(zoneName(1), epoch)) // no time for a report yet
	exchangeReports(members, epoch, nil)
	members[3].dead, members[4].dead = true, true
	now := epoch.Add(300 * time.Millisecond)
	exchangeReports(members, now, nil)
	now = now.Add(300 * time.Millisecond)
	is.True(!self.ZoneSilent(zoneName(1), now)) // one daemon is enough
	is.True(self.ZoneSilent(zoneName(1), now.Add(time.Second)))
	is.True(!self.ZoneSilent(zoneName(0), now.Add(time.Minute))) // the own zone
	exchangeReports(members, now.Add(time.Second), nil)
	is.True(!self.ZoneSilent(zoneName(1), now.Add(time.Second)))
}

// Guards against servers that are never used again because all daemons of their zone
// were removed.
func TestZoneWithoutDaemonsIsNotSilent(t *testing.T) {
	is := is.New(t)
	members := newRegion(2, 2)
	exchangeReports(members, epoch, nil)
	self, later := members[0].table, epoch.Add(2*peerRetention)
	is.True(self.ZoneSilent(zoneName(1), later))
	b := directory.NewBuilder()
	b.Apply([]directory.Change{{VM: &directory.VM{Name: "a", Zone: zoneName(0), Addr: addr(0, 2)}}}, directory.Position{Revision: 1}, epoch)
	self.Apply(b.Build(), later)
	is.True(!self.ZoneSilent(zoneName(1), later))
}

// Guards against peers that ignore a daemon because the store, which refuses its calls,
// has also dropped its registration. The daemon then misses changes such as drains.
func TestPeerThatReportsOutlivesItsRegistration(t *testing.T) {
	is := is.New(t)
	members := newRegion(3)
	exchangeReports(members, epoch, nil)
	self, now := members[0].table, epoch.Add(time.Second)
	empty := directory.NewBuilder().Build()
	self.Apply(empty, now)
	is.True(self.Allowed(addr(0, 2)))
	is.Equal(len(self.NextZoneRound().Peers), 2)

	self.Apply(empty, epoch.Add(peerRetention+time.Second))
	is.True(!self.Allowed(addr(0, 2)))
}

// Guards against late reports that replace newer ones, and against reports of a
// restarted daemon that are taken for late ones.
func TestOldReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := newRegion(2)[0].table
	from := addr(0, 2)
	is.True(table.RecordReport(from, Report{Zone: zoneName(0), Start: 1, Sequence: 2}, epoch))
	is.True(!table.RecordReport(from, Report{Zone: zoneName(0), Start: 1, Sequence: 1}, epoch))
	is.True(!table.RecordReport(from, Report{Zone: zoneName(0), Start: 1, Sequence: 2}, epoch))
	is.True(table.RecordReport(from, Report{Zone: zoneName(0), Start: 2, Sequence: 1}, epoch))
	is.True(!table.RecordReport(from, Report{Zone: zoneName(0), Start: 1, Sequence: 9}, epoch))
}

// Guards against a daemon whose reports are ignored because the wall clock of its VM
// stepped back between two processes.
func TestStartAfterAClockStep(t *testing.T) {
	is := is.New(t)
	table := newRegion(2)[0].table
	from := addr(0, 2)
	is.True(table.RecordReport(from, Report{Zone: zoneName(0), Start: 9, Sequence: 50}, epoch))
	later := epoch.Add(minSilence)
	is.True(table.RecordReport(from, Report{Zone: zoneName(0), Start: 7, Sequence: 1}, later))
	is.True(table.RecordReport(from, Report{Zone: zoneName(0), Start: 7, Sequence: 2}, later))
}

// Guards against accepting reports from unknown addresses, and against a daemon without
// a directory that finds no peers.
func TestAllowedAddresses(t *testing.T) {
	is := is.New(t)
	seed := addr(1, 1)
	table := NewPeerTable(PeerTableOptions{
		Self: addr(0, 1), Zone: zoneName(0), Seeds: []netip.Addr{addr(0, 1), seed}, MaxAge: maxDirectoryAge,
		OwnState: func(time.Time) (directory.Position, time.Duration) { return directory.Position{}, time.Hour },
	})
	is.True(table.Allowed(seed))
	is.True(!table.Allowed(addr(3, 3)))
	is.Equal(table.FetchCandidates(epoch), []netip.Addr{seed})
	is.Equal(table.NextCrossZoneBatch(), []netip.Addr{seed})
	table.SetSeeds(nil)
	is.True(!table.Allowed(seed))
}

// Guards against control traffic that grows with the fleet: among 260 daemons, each
// sends at most 25 KB per second with reports of 100 bytes.
func TestReportRateIsBounded(t *testing.T) {
	is := is.New(t)
	members := newRegion(65, 65, 65, 65)
	round := members[0].table.NextZoneRound()
	perSecond := float64(len(round.Peers))/round.MinInterval.Seconds() + crossZoneBatch/crossZoneInterval.Seconds()
	is.True(perSecond*100 <= 25_000)
	is.True(round.MaxInterval >= round.MinInterval)
	is.True(!round.OnLoad)
}

// Guards against control traffic that grows with the zone while nothing changes: for
// control, a daemon may spend 2% of a core. One that sends and receives 100 datagrams
// per second in its zone and as many for other zones is well below that.
func TestLargeZonesReportRarely(t *testing.T) {
	is := is.New(t)
	for _, daemons := range []int{40, 65} {
		round := newRegion(daemons)[0].table.NextZoneRound()
		is.True(float64(len(round.Peers))/round.MaxInterval.Seconds() <= 100)
	}
}

// playRounds lets the daemons of a region report in rounds for a time, and loses a
// share of the reports. It calls observe after each round.
func playRounds(members []*member, from time.Time, d time.Duration, loss float64, observe func(now time.Time)) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	byAddr := map[netip.Addr]*member{}
	for _, m := range members {
		byAddr[m.addr] = m
	}
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(heartbeatInterval) {
		for i, m := range members {
			if m.dead {
				continue
			}
			at := now.Add(heartbeatInterval * time.Duration(i) / time.Duration(len(members)))
			report := m.report(at)
			for _, a := range append(slices.Clone(m.table.NextZoneRound().Peers), m.table.NextCrossZoneBatch()...) {
				if to := byAddr[a]; !to.dead && random.Float64() >= loss {
					to.table.RecordReport(m.addr, report, at)
					to.revision = max(to.revision, report.Position.Revision)
				}
			}
		}
		observe(now.Add(heartbeatInterval))
	}
	return now
}

// Guards against daemons of a large zone that watch the store although another one
// does, because its reports reach them rarely, against a watcher that is not replaced
// after it died, and against a whole zone that calls the store then.
func TestLargeZoneHasOneWatcher(t *testing.T) {
	for _, daemons := range []int{22, 40, 65} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			is := is.New(t)
			members := newRegion(daemons)
			now := playRounds(members, epoch, 2*introductionTime, 0.05, func(time.Time) {})
			now = playRounds(members, now, time.Minute, 0.05, func(at time.Time) {
				is.Equal(watchers(members, at), []netip.Addr{addr(0, 1)})
			})
			members[0].dead = true
			most := 0
			now = playRounds(members, now, maxWatcherSilence+maxTakeoverDelay, 0.05, func(at time.Time) {
				most = max(most, len(watchers(members, at)))
			})
			is.True(len(watchers(members, now)) > 0)
			t.Logf("at most %d of %d daemons watch after the death of the watcher", most, daemons)
			is.True(most <= daemons/2)
			playRounds(members, now, maxWatcherSilence, 0.05, func(time.Time) {})
			now = playRounds(members, now, 10*time.Second, 0.05, func(time.Time) {})
			is.Equal(watchers(members, now), []netip.Addr{addr(0, 2)})
		})
	}
}

// Guards against zones that count as cut off on a calm day, because all daemons of a
// zone report to the same peer at the same time and to no other, and against a store
// that many daemons watch for that reason.
func TestLargeRegionAtRest(t *testing.T) {
	for _, daemons := range [][]int{{26, 26, 26}, {39, 39, 39, 39, 39}, {18, 18, 18, 18, 18}, {39, 1, 39}} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			is := is.New(t)
			members := newRegion(daemons...)
			now := playRounds(members, epoch, 3*time.Second, 0.02, func(time.Time) {})
			silent, checks := 0, 0
			playRounds(members, now, 10*time.Second, 0.02, func(at time.Time) {
				for _, m := range members {
					for zone := range daemons {
						checks++
						if m.table.ZoneSilent(zoneName(zone), at) {
							silent++
						}
					}
				}
				is.Equal(watchers(members, at), []netip.Addr{addr(0, 1), addr(1, 1)})
			})
			t.Logf("%d of %d checks found a silent zone", silent, checks)
			is.Equal(silent, 0)
		})
	}
}

// Guards against the loss of a zone that is noticed late in a large region, and against
// one that makes the whole zone call the store.
func TestLargeRegionNoticesACut(t *testing.T) {
	is := is.New(t)
	members := newRegion(39, 39, 39)
	now := playRounds(members, epoch, 3*time.Second, 0.02, func(time.Time) {})
	for _, m := range members {
		m.dead = m.zone != 2 // for the daemons of zone 2, the others are gone
	}
	now = playRounds(members, now, time.Second, 0.02, func(time.Time) {})
	for _, m := range members {
		is.True(m.dead || m.table.ZoneSilent(zoneName(0), now) && m.table.ZoneSilent(zoneName(1), now))
	}
	most := 0
	now = playRounds(members, now, 2*time.Second, 0.02, func(at time.Time) { most = max(most, len(watchers(members, at))) })
	is.Equal(watchers(members, now), []netip.Addr{addr(2, 1)})
	is.True(most <= 5)
}

// Guards against a revision that reaches some daemons of a large zone late.
func TestNewsReachesALargeZoneSoon(t *testing.T) {
	for _, daemons := range []int{22, 40, 65} {
		members := newRegion(daemons)
		now := playRounds(members, epoch, 2*introductionTime, 0.05, func(time.Time) {})
		members[7].revision = 2
		since := now
		reachedAll := time.Time{}
		playRounds(members, now, 2*time.Second, 0.05, func(at time.Time) {
			if reachedAll.IsZero() && !slices.ContainsFunc(members, func(m *member) bool { return m.revision < 2 }) {
				reachedAll = at
			}
		})
		if reachedAll.IsZero() || reachedAll.Sub(since) > catchUpGrace {
			t.Errorf("%d daemons: all know the revision after %s, want at most %s", daemons, reachedAll.Sub(since), catchUpGrace)
		}
	}
}

// Guards against malformed messages that crash the daemon or are accepted.
func FuzzDecodeReport(f *testing.F) {
	b, err := encodeReport(Report{VM: "a", Zone: "z", Start: 1, Load: placement.Load{
		InProgress: map[directory.Cookie]int{1: 2}, Suspected: []directory.Cookie{3},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeReport(b)
		if err == nil && (r.VM == "" || r.Zone == "" || r.Start == 0 || r.Age < 0) {
			t.Fatalf("report %+v was accepted", r)
		}
	})
}

// Guards against a report that does not fit into one packet of the network, and
// against fields that are lost in the encoding.
func TestReportsFitIntoOnePacket(t *testing.T) {
	is := is.New(t)
	r := Report{VM: "front-cartago-norte-10", Zone: "cartago-norte", Start: 1 << 60, Sequence: 1 << 40, Position: directory.Position{Era: 1 << 40, Revision: 1 << 40},
		Confirmation: registry.Confirmation{Source: 1 << 63, Number: 1 << 40}, Age: time.Hour, Watching: true, Load: placement.Load{InProgress: map[directory.Cookie]int{}}, Watchers: map[netip.Addr]time.Duration{}, Zones: map[ZoneID]time.Duration{}}
	for i := range maxReportedZones {
		r.Zones[ZoneID(1<<31+i)] = time.Hour
	}
	for i := range maxReportedWatchers {
		r.Watchers[netip.AddrFrom16([16]byte{0xfd, 15: byte(i)})] = time.Hour
	}
	for i := range 1000 {
		r.Load.InProgress[directory.Cookie(1<<31+i)] = 100
		r.Load.Suspected = append(r.Load.Suspected, directory.Cookie(1<<31+i))
	}
	b, err := encodeReport(r)
	is.NoErr(err)
	is.True(len(b) <= maxReportSize)
	got, err := decodeReport(b)
	is.NoErr(err)
	is.Equal(len(got.Load.InProgress), maxReportedServers)
	is.Equal(got.Load.Suspected, r.Load.Suspected[:maxReportedSuspects])
	got.Load, r.Load = placement.Load{}, placement.Load{}
	is.Equal(got, r)
}

// Guards against messages that lose the era of a position, that a deletion is due to a restore,
// or that the sender's calls to the store fail.
func TestMessagesKeepWhatTellsErasApart(t *testing.T) {
	is := is.New(t)
	position := directory.Position{Era: 3, Revision: 7}
	b, err := encodeReport(Report{VM: "vm", Zone: "zone", Start: 1, Position: position, StoreFailing: true})
	is.NoErr(err)
	report, err := decodeReport(b)
	is.NoErr(err)
	is.Equal(report.Position, position)
	is.True(report.StoreFailing)

	reading := registry.Reading{Position: position, Complete: true, Items: []registry.Item{
		{Key: "s", Value: []byte("last"), Revision: 7, Created: 2, Deleted: true, Lost: true, ReadAt: epoch},
	}}
	m, err := encodeReading(reading, registry.Confirmation{Source: 1 << 63, Number: 9}, time.Minute, epoch, newPacker())
	is.NoErr(err)
	is.Equal(m.ConfirmedBy, uint64(1<<63))
	is.Equal(m.Confirmation, uint64(9))
	is.Equal(m.ReadingAgeMs, uint64(time.Minute.Milliseconds()))
	got, err := decodeReading(m, epoch)
	is.NoErr(err)
	is.Equal(got, reading)
}

// Guards against large values that are sent uncompressed, compressed again for each
// peer, changed by the compression, or those of another change with the same revision.
func TestLargeValuesArePackedOnce(t *testing.T) {
	is := is.New(t)
	p := newPacker()
	value := []byte(strings.Repeat(`{"name":"r-1","host":"198.18.0.1","prefix":"/8443/"},`, 4000))
	item := registry.Item{Key: "config", Value: value, Revision: 7, ReadAt: epoch}
	small := registry.Item{Key: "s", Value: []byte("small"), Revision: 8, ReadAt: epoch}
	reading := registry.Reading{Position: directory.Position{Revision: 8}, Items: []registry.Item{item, small}}
	m, err := encodeReading(reading, registry.Confirmation{}, time.Second, epoch, p)
	is.NoErr(err)
	is.True(len(m.Items[0].Value) < len(value)/10)
	is.True(!m.Items[1].Packed)
	again, err := encodeReading(reading, registry.Confirmation{}, time.Second, epoch, p)
	is.NoErr(err)
	is.True(&again.Items[0].Value[0] == &m.Items[0].Value[0])
	got, err := decodeReading(m, epoch)
	is.NoErr(err)
	is.Equal(got, reading)

	reading.Items[0].Revision, reading.Items[0].Value = 9, []byte(strings.Repeat("x", minPackSize))
	m, err = encodeReading(reading, registry.Confirmation{}, time.Second, epoch, p)
	is.NoErr(err)
	got, err = decodeReading(m, epoch)
	is.NoErr(err)
	is.Equal(got.Items[0].Value, reading.Items[0].Value)

	reading.Items[0].Value = value // a restored store assigns revision 9 again
	m, err = encodeReading(reading, registry.Confirmation{}, time.Second, epoch, p)
	is.NoErr(err)
	got, err = decodeReading(m, epoch)
	is.NoErr(err)
	is.Equal(got.Items[0].Value, value)
}

// Guards against a compressed value that exhausts the memory, and against a corrupt one
// that is accepted.
func TestUnpackIsBounded(t *testing.T) {
	is := is.New(t)
	packed, _, err := newPacker().pack(registry.Item{Key: "k", Revision: 1, Value: make([]byte, maxUnpackedSize+1)})
	is.NoErr(err)
	_, err = unpack(packed)
	is.True(err != nil)
	_, err = decodeReading(&peerapi.FetchItemsResponse{Items: []*peerapi.Item{{Key: "k", Packed: true, Value: []byte("no")}}}, epoch)
	is.True(err != nil)
}

// Guards against complete directories that a starting daemon cannot read in time over a
// slow link, and against items that the compression changes.
func TestLargeReadingsArePacked(t *testing.T) {
	is := is.New(t)
	reading := registry.Reading{Position: directory.Position{Revision: 9000}, Complete: true}
	size := 0
	for i := range 3000 {
		value := fmt.Appendf(nil, `{"service":"dispatch","address":"10.3.%d.%d:%d","zone":"peninsula","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}`,
			i/250, i%250, 8000+i*7919%1000, i, 1700000000000+i*104729)
		size += len(value)
		reading.Items = append(reading.Items, registry.Item{Key: fmt.Sprintf("servers/i-%010x", i*2654435761), Value: value, Revision: uint64(i + 1), ReadAt: epoch})
	}
	is.True(readingSize(reading) > size)
	m, err := encodeReading(reading, registry.Confirmation{}, time.Second, epoch, newPacker())
	is.NoErr(err)
	is.NoErr(packItems(m))
	is.True(proto.Size(m) < size/4)
	got, err := decodeReading(m, epoch)
	is.NoErr(err)
	is.Equal(got, reading)

	m.PackedItems = m.PackedItems[:len(m.PackedItems)/2]
	_, err = decodeReading(m, epoch)
	is.True(err != nil)
}
