package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

const testRegion = "cartago"

func testMember(name Name, zone string) Member {
	return Member{
		Name: name, Region: testRegion, Zone: zone, Capacity: 1, Incarnation: 1,
		Control: netip.MustParseAddrPort("127.0.0.1:1"), Data: netip.MustParseAddrPort("127.0.0.1:2"),
	}
}

func newTestTable(t interface{ Fatal(...any) }, name Name, zone string, expectPeers bool) *Table {
	table, err := New(Config{
		Self: testMember(name, zone), ExpectPeers: expectPeers,
		Events: events.Discard(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// run starts the table's loop and waits for its end at the end of the test. The
// test must run in a synctest bubble.
func run(t *testing.T, table *Table) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = table.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
}

// state returns the state of a member in the current view.
func state(table *Table, n Name) State {
	m, ok := table.View().Get(n)
	if !ok {
		return unknown
	}
	return m.State
}

// Guards against a crash that is detected too late or too early.
func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(t, "a", "z1", false)
		run(t, table)
		table.Apply("b", []Member{testMember("b", "z1")})
		table.HandleHeartbeat("b", 0)
		time.Sleep(SuspectAfter - time.Millisecond)
		is.Equal(state(table, "b"), Alive)
		time.Sleep(2 * tickInterval)
		is.Equal(state(table, "b"), Suspect)
		is.Equal(len(table.View().Serving()), 2) // its slots move only after its death
		time.Sleep(RefutationTimeout)
		is.Equal(state(table, "b"), Dead)
		is.Equal(len(table.View().Serving()), 1)
		is.Equal(table.cfg.Metrics.Totals().Value(metrics.MembersDied), int64(1))
	})
}

// Guards against an alive member that cannot refute a suspicion, or a death that
// the other side of a partition has declared.
func TestSuspectedMemberRefutes(t *testing.T) {
	for _, claimed := range []State{Suspect, Dead} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			observer, suspect := newTestTable(t, "a", "z1", false), newTestTable(t, "b", "z1", false)
			run(t, observer)
			observer.Apply("b", []Member{suspect.View().Self})
			record := suspect.View().Self
			record.State = claimed
			observer.Apply("c", []Member{record})
			is.Equal(state(observer, "b"), Suspect) // its slots have not moved yet
			suspect.OnRecords(func(changed []Member, _ Name) { observer.Apply("b", changed) })
			suspect.Apply("a", []Member{record})
			is.Equal(state(observer, "b"), Alive)
			time.Sleep(RefutationTimeout + 2*tickInterval)
			is.Equal(state(observer, "b"), Alive)
		})
	}
}

// Guards against a leaving member that owns slots again because it is suspected,
// and against a crash of a leaving member that is not detected.
func TestLeavingMemberNeverServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, leaving := newTestTable(t, "a", "z1", false), newTestTable(t, "b", "z1", false)
		run(t, table)
		suspicion := leaving.View().Self
		suspicion.State = Suspect
		leaving.AnnounceLeaving()
		table.Apply("b", []Member{leaving.View().Self})
		table.Apply("c", []Member{suspicion}) // of the incarnation before it began to leave
		table.OnChange(func(v *View) { is.Equal(len(v.Serving()), 1) })
		is.Equal(state(table, "b"), Leaving)
		time.Sleep(SuspectAfter + RefutationTimeout + 2*tickInterval)
		is.Equal(state(table, "b"), Dead)
	})
}

// Guards against a daemon that decides with the view from before a pause. It must be
// ineligible even before the loop runs again, and become eligible only when a peer
// acknowledges the new incarnation.
func TestPausedMemberLosesEligibility(t *testing.T) {
	is := is.New(t)
	table := newTestTable(t, "a", "z1", false)
	start := time.Now()
	table.apply("b", []Member{testMember("b", "z1")}, start)
	table.tick(start)
	is.True(table.Eligible(start.Add(MaxPause)))
	resumed := start.Add(MaxPause + time.Millisecond)
	is.True(!table.Eligible(resumed)) // the loop has not run yet
	old := table.View().Self.Incarnation
	table.tick(resumed)
	is.True(!table.Eligible(resumed))
	is.Equal(state(table, "b"), Alive) // its silence during this daemon's pause does not count
	table.handleHeartbeat("b", old, resumed)
	is.True(!table.Eligible(resumed))
	table.handleHeartbeat("b", old+1, resumed)
	is.True(table.Eligible(resumed))
}

// Guards against an isolated VM that never becomes eligible, and against one that
// becomes eligible without an acknowledgement although a peer is reachable.
func TestEligibilityWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.True(newTestTable(t, "single", "z1", false).Eligible(time.Now()))
		alone, joining := newTestTable(t, "alone", "z1", true), newTestTable(t, "joining", "z1", true)
		run(t, alone)
		run(t, joining)
		for range 4 {
			is.True(!alone.Eligible(time.Now()))
			time.Sleep(IsolationTimeout / 4)
			joining.HandleHeartbeat("peer", 0) // reachable, but does not acknowledge
		}
		time.Sleep(2 * tickInterval)
		is.True(alone.Eligible(time.Now()))
		is.True(!joining.Eligible(time.Now()))
	})
}

// Guards against a broken link that floods the region with suspicions.
func TestRepeatedSuspicionsSlowDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(t, "a", "z1", false)
		run(t, table)
		suspicions := countSuspicions(table)
		table.Apply("c", []Member{testMember("b", "z1")})
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(*suspicions, 5) // after 1, 2, 4, 8 and 16 s of silence
	})
}

// Guards against repeated suspicions of a member that is no longer a ring successor
// because others joined. If there never was a link to it, it must not be suspected;
// if its link was lost, it must be suspected once.
func TestFormerSuccessorIsSuspectedAtMostOnce(t *testing.T) {
	for name, linked := range map[string]bool{"never linked": false, "link lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newTestTable(t, "a", "z1", false)
				suspicions := countSuspicions(table)
				run(t, table)
				names := []Name{"b", "c", "d", "e", "f", "g"}
				slices.SortFunc(names, compareRing)
				first, _ := slices.BinarySearchFunc(names, "a", compareRing)
				last := names[(first+len(names)-1)%len(names)] // the last one after a in ring order
				table.Apply("x", []Member{testMember(last, "z1")})
				time.Sleep(SuspectAfter / 2)
				if linked {
					table.HandleHeartbeat(last, 0)
				}
				for _, n := range names {
					table.Apply("x", []Member{testMember(n, "z1")})
				}
				for range 240 {
					for _, n := range names {
						if n != last {
							table.HandleHeartbeat(n, 0)
						}
					}
					time.Sleep(HeartbeatInterval)
				}
				synctest.Wait()
				is.Equal(*suspicions == 1, linked)
				is.True(*suspicions <= 1)
			})
		})
	}
}

// countSuspicions counts the suspicions that a table raises, and refutes each of
// them.
func countSuspicions(table *Table) *int {
	count := new(int)
	table.OnRecords(func(changed []Member, _ Name) {
		for _, m := range changed {
			if m.State == Suspect {
				*count++
				m.Incarnation, m.State = m.Incarnation+1, Alive
				table.Apply("c", []Member{m})
			}
		}
	})
	return count
}

// Guards against two VMs with the same name that refute each other's records
// without limit.
func TestRefutationsAreLimited(t *testing.T) {
	is := is.New(t)
	table := newTestTable(t, "a", "z1", false)
	now := time.Now()
	for range 100 {
		record := table.View().Self
		record.Incarnation++
		table.apply("b", []Member{record}, now)
	}
	// Each refutation raises the incarnation by 2: the record is 1 above it, and the
	// refutation 1 above the record.
	is.Equal(table.View().Self.Incarnation, uint64(1+2*refutationBurst))
}

// Guards against the removal of members that are alive or send heartbeats but are
// missing from the lagging VM list, and against dead members that are never removed.
func TestPruneKeepsMembersThatSendHeartbeats(t *testing.T) {
	is := is.New(t)
	table := newTestTable(t, "a", "z1", false)
	now := time.Now()
	for _, n := range []Name{"alive", "dead", "heartbeat", "listed"} {
		m := testMember(n, "z1")
		if n != "alive" {
			m.State = Dead
		}
		table.apply("b", []Member{m}, now)
	}
	listed := map[Name]bool{"listed": true}
	table.prune(listed, now.Add(RemovalDelay-1))
	is.Equal(len(table.View().Members), 5)
	table.handleHeartbeat("heartbeat", 0, now.Add(RemovalDelay-1))
	table.prune(listed, now.Add(RemovalDelay))
	is.Equal(len(table.View().Members), 4)
	is.Equal(state(table, "dead"), unknown)
}

// Guards against records of another region and malformed records.
func TestForeignRegionIsRefused(t *testing.T) {
	is := is.New(t)
	table := newTestTable(t, "a", "z1", false)
	m := testMember("b", "z1")
	m.Region = "tn-north"
	table.Apply("b", []Member{m})
	is.Equal(state(table, "b"), unknown)
	is.Equal(table.cfg.Metrics.Refusals().Value(metrics.PeerNotMember), int64(1))
	_, err := FromRecord(m.Record())
	is.NoErr(err)
	m.Incarnation = maxIncarnation + 1
	_, err = FromRecord(m.Record())
	is.True(err != nil)
}

// Guards against callbacks that run in the wrong order, or deadlock when they change
// the table.
func TestCallbacksRunInOrder(t *testing.T) {
	is := is.New(t)
	table := newTestTable(t, "a", "z1", false)
	var sizes []int
	table.OnChange(func(v *View) {
		sizes = append(sizes, len(v.Members))
		if n := len(v.Members); n < 5 {
			table.Apply("b", []Member{testMember(Name(fmt.Sprint("m", n)), "z1")})
		}
	})
	table.Apply("b", []Member{testMember("m0", "z1")})
	is.Equal(sizes, []int{2, 3, 4, 5})
}

// Guards against a slow callback that runs once for each change of a burst, and
// against records that are lost when notifications are coalesced.
func TestBurstsAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(t, "a", "z1", false)
		var sizes []int
		records := 0
		table.OnRecords(func(changed []Member, _ Name) { records += len(changed) })
		table.OnChange(func(v *View) {
			sizes = append(sizes, len(v.Members))
			time.Sleep(time.Millisecond)
		})
		for i := range 9 {
			go table.Apply("b", []Member{testMember(Name(fmt.Sprint("m", i)), "z1")})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(len(sizes) <= 3 && sizes[len(sizes)-1] == 10)
		is.Equal(records, 9)
	})
}

// Guards against a member without a link to another zone, and against daemons that
// disagree on a backup or on the watchers.
func TestRingLinksBackupsAndWatchers(t *testing.T) {
	is := is.New(t)
	var all []Member
	for i := range 24 {
		m := testMember(Name(fmt.Sprint("vm", i)), "z1")
		if i%8 == 0 {
			m.Zone = "z2"
		}
		all = append(all, m)
	}
	all[1].State, all[2].State, all[3].State = Dead, Left, Leaving
	reference := NewView(all[0], slices.Clone(all), true)
	for _, self := range all {
		v := NewView(self, slices.Clone(all), true)
		links := v.Successors()
		is.Equal(len(links), LinkCount)
		is.True(slices.ContainsFunc(links, func(m Member) bool { return m.Zone != self.Zone }))
		is.True(!slices.ContainsFunc(links, func(m Member) bool { return m.gone() || m.Name == self.Name }))
		for _, owner := range all {
			got, ok := v.Backup(owner.Name)
			want, _ := reference.Backup(owner.Name)
			is.True(ok)
			is.Equal(got, want)
			is.True(got.Serves() && got.Zone != owner.Zone)
		}
		is.Equal(v.Watchers("z1"), reference.Watchers("z1"))
	}
	is.Equal(len(reference.Watchers("z1")), WatchersPerZone)
	is.Equal(len(reference.Watchers("nowhere")), 0)
}

// Guards against suspected successors that are counted as links, so that no
// replacement is linked.
func TestSuspectsDoNotUseUpLinks(t *testing.T) {
	is := is.New(t)
	all := []Member{testMember("self", "z1")}
	for i := range 8 {
		all = append(all, testMember(Name(fmt.Sprint("vm", i)), "z1"))
	}
	before := NewView(all[0], slices.Clone(all), true).Successors()
	for i := range all {
		if all[i].Name == before[0].Name {
			all[i].State = Suspect
		}
	}
	is.Equal(len(NewView(all[0], slices.Clone(all), true).Successors()), LinkCount+1)
}
