package tablesync

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// maxApplyTime is the time within which a change must be in force on all daemons
// (promise P8).
const maxApplyTime = 5 * time.Second

// Guards against a change that is in force too late because watchers died just before or
// after it was accepted.
func TestChangeIsInForceWhenWatchersDie(t *testing.T) {
	runMesh(t, 12, func(t *testing.T, m *mesh) {
		m.waitInForce(m.store.commit(t), maxApplyTime)
		m.waitInForce(m.store.commit(t), 100*time.Millisecond) // by floods, without heartbeats
		before := m.watchers()
		m.crash(before[0]) // both watchers of one zone
		m.crash(before[3])
		m.waitInForce(m.store.commit(t), maxApplyTime)
		m.crash(before[1])
		v := m.store.commit(t)
		m.crash(before[2])
		m.waitInForce(v, maxApplyTime)
		time.Sleep(5 * time.Second)
		is.New(t).True(len(m.watchers()) >= 4)
		m.waitInForce(m.store.commit(t), maxApplyTime)
	})
}

// Guards against a change that does not reach all daemons because the store went down
// after it had reported the change to one watcher.
func TestChangeIsInForceWhenStoreGoesDown(t *testing.T) {
	runMesh(t, 12, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.waitInForce(m.store.commit(t), maxApplyTime)
		m.store.update(func() { m.store.failAfterChange = true })
		m.waitInForce(m.store.commit(t), maxApplyTime)
		m.store.update(func() { is.True(m.store.down) })

		time.Sleep(2 * oldTablesAge)
		is.True(m.all(func(d *daemon) bool { return d.Age() > oldTablesAge && logged(d, events.TablesUnconfirmed) == 1 }))
		m.waitInForce(2, 0) // still in force, and a new daemon gets it from a peer
		joined := m.start()
		time.Sleep(time.Second)
		is.Equal(joined.Version(), tables.Version(2))

		m.store.update(func() { m.store.down, m.store.failAfterChange = false, false })
		m.waitInForce(m.store.commit(t), maxApplyTime) // the pause after an outage is short
		time.Sleep(maxApplyTime)
		is.True(m.all(func(d *daemon) bool { return d.Age() < maxApplyTime }))
	})
}

// Guards against a starting daemon that reads the store before its peers had time to
// answer, and against a watcher that pauses for too long after an outage.
func TestLoneDaemonFollowsStore(t *testing.T) {
	runMesh(t, 1, func(t *testing.T, m *mesh) {
		is := is.New(t)
		v := m.store.commit(t)
		time.Sleep(500 * time.Millisecond)
		m.store.update(func() { is.Equal(m.store.calls, 0) })
		m.waitInForce(v, maxApplyTime)
		for range 3 {
			m.store.update(func() { m.store.down = true })
			time.Sleep(2 * time.Minute)
			m.store.update(func() { m.store.down = false })
			m.waitInForce(m.store.commit(t), maxApplyTime)
		}
	})
}

// logged returns how often a daemon has logged an event.
func logged(d *daemon, e events.Event) int { return d.logs.FilterMessage(e.Message).Len() }

// Guards against a starting fleet in which every daemon reads the store, and against a
// daemon that gets no tables from its peers when it starts.
func TestStartAsksPeersFirst(t *testing.T) {
	runMesh(t, 0, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.store.commit(t)
		m.store.update(func() { m.store.down = true })
		for range 9 {
			m.start()
		}
		time.Sleep(time.Minute)
		is.True(m.all(func(d *daemon) bool { return d.Current() == nil }))
		m.store.update(func() { m.store.down, m.store.calls = false, 0 })
		m.waitInForce(1, maxApplyTime)
		m.store.update(func() { is.True(m.store.calls <= len(m.watchers())+2) })

		time.Sleep(time.Second)
		m.store.update(func() { m.store.down, m.store.calls = true, 0 })
		d := m.start()
		time.Sleep(time.Second)
		is.Equal(d.Version(), tables.Version(1))
	})
}

// Guards against a daemon that stays behind after it missed floods: it must get the
// deltas from a peer, or the snapshot if the peer has dropped the oldest of them.
func TestGapIsFilledFromPeer(t *testing.T) {
	for name, missed := range map[string]int{"deltas": 3, "snapshot": maxLogEntries + 3} {
		t.Run(name, func(t *testing.T) {
			runMesh(t, 2, func(t *testing.T, m *mesh) {
				is := is.New(t)
				m.waitInForce(m.store.commit(t), maxApplyTime)
				ahead, behind := m.daemons[0], m.daemons[1]
				m.crash(behind)
				synctest.Wait()
				for range missed {
					m.store.commit(t)
				}
				time.Sleep(time.Second)
				m.store.update(func() { m.store.down = true })
				is.Equal(ahead.Version(), tables.Version(missed+1))
				is.Equal(len(ahead.Fetch(behind.Version()).GetDeltas()) > 0, name == "deltas")
				check(t, behind.fetch(t.Context(), ahead.name, directPeer{behind, ahead}))
				is.Equal(behind.Version(), ahead.Version())
				is.Equal(behind.Current().Encode(), ahead.Current().Encode())
			})
		})
	}
}

// directPeer fetches directly from another daemon, without links.
type directPeer struct {
	*daemon
	from *daemon
}

func (p directPeer) FetchTables(_ context.Context, _ member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error) {
	return p.from.Fetch(have), nil
}

// Guards against lost floods that go unnoticed: heartbeats must show the gap.
func TestLostFloodsAreNoticed(t *testing.T) {
	runMesh(t, 9, func(t *testing.T, m *mesh) {
		for _, d := range m.daemons {
			d.dropFloods = true
		}
		m.waitInForce(m.store.commit(t), maxApplyTime)
		m.waitInForce(m.store.commit(t), maxApplyTime)
	})
}

// Guards against going back to an older version because the store was restored from a
// backup or a peer that was paused floods an old change.
func TestOlderVersionIsRefused(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, m *mesh) {
		is := is.New(t)
		old := change(1)
		for range 3 {
			m.store.commit(t)
		}
		m.waitInForce(3, maxApplyTime)
		time.Sleep(time.Second) // floods that were overtaken by a newer one are counted as well
		d := m.daemons[0]
		staleBefore := d.cfg.Metrics.Refusals().Value(metrics.StaleTables)
		d.Offer("vm-1", 1, old.Encode())
		is.Equal(d.cfg.Metrics.Refusals().Value(metrics.StaleTables), staleBefore+1)

		deltas, _ := m.store.head.DeltasSince(0)
		m.store.update(func() {
			m.store.head = &tables.Head{Version: 2, Deltas: deltas[:2]}
			m.store.revision = 1 // lower than the revision that the watches wait for
		})
		time.Sleep(rereadInterval + 2*store.WatchWait)
		m.waitInForce(3, 0)
		for _, d := range m.watchers() {
			is.True(d.cfg.Metrics.Refusals().Value(metrics.TablesRegressed) >= 1)
			is.Equal(logged(d, events.TablesRegressed), 1)
			is.True(d.Age() > time.Second) // a refused head confirms nothing
		}
	})
}

// Guards against an age in a peer's response that overflows and confirms the tables for a
// time in the future, so that nothing tells that they are old.
func TestAgeOfAPeerCannotOverflow(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:1")
	table, err := member.New(member.Config{Events: events.Discard(), Metrics: metrics.NewRegistry(), Self: member.Member{
		Name: "vm-0", Region: "cartago", Zone: "z", Capacity: 1, Control: address, Data: address,
	}})
	is.NoErr(err)
	for _, ms := range []uint64{1 << 44, 1 << 53, 1 << 60, 1<<64 - 1} {
		s, err := New(Config{Members: table, Store: newFakeStore(), Events: events.Discard(), Metrics: metrics.NewRegistry()})
		is.NoErr(err)
		confirmedAt := s.confirmedAt
		is.NoErr(s.applyResponse(&peerapi.FetchTablesResponse{AgeMs: ms}, "vm-1", nil))
		is.Equal(s.confirmedAt, confirmedAt)
	}
}

// Guards against changes of a restored store that are applied to tables of the lost
// history, and against daemons that never switch to the new history. The last step also
// covers a base that the daemons must read from the store.
func TestRestoredStoreIsFollowedOnceItIsNewer(t *testing.T) {
	runMesh(t, 9, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.store.commit(t)
		backup := m.store.head
		m.store.commit(t)
		m.waitInForce(m.store.commit(t), maxApplyTime)
		lost := m.daemons[0].Current().Encode()

		m.store.update(func() { m.store.head, m.store.revision = backup, 1 })
		time.Sleep(rereadInterval + store.WatchWait)
		m.store.commit(t)
		m.store.commit(t) // version 3 of another history
		time.Sleep(time.Second)
		is.True(m.all(func(d *daemon) bool { return string(d.Current().Encode()) == string(lost) }))

		m.waitInForce(m.store.commit(t), maxApplyTime)
		want, err := m.store.head.Replay(tables.Empty(), 4)
		is.NoErr(err)
		is.True(m.all(func(d *daemon) bool { return string(d.Current().Encode()) == string(want.Encode()) }))

		base, err := want.Renumber(20, tables.NewWriteID()) // what the recover command does
		is.NoErr(err)
		m.store.update(func() {
			m.store.values[tables.BaseKey(20)] = base.Encode()
			m.store.head = &tables.Head{Version: 20, Base: 20}
			m.store.revision++
		})
		m.waitInForce(20, maxApplyTime)
	})
}

// Guards against a change that is in force up to a minute late because a store that came back
// from a backup has not reached the revision that the watch waits for.
func TestChangeAfterARestoreIsInForceAtOnce(t *testing.T) {
	runMesh(t, 9, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.store.commit(t)
		backup, revision := m.store.head, m.store.revision
		for range 6 {
			m.store.commit(t)
		}
		m.waitInForce(m.store.commit(t), maxApplyTime)
		next, err := m.daemons[0].Current().Renumber(20, tables.NewWriteID()) // what the recover command does
		is.NoErr(err)

		m.store.update(func() { m.store.down = true })
		time.Sleep(3 * time.Second)
		m.store.update(func() { m.store.head, m.store.revision = backup, revision })
		time.Sleep(3 * time.Second)
		m.store.update(func() {
			m.store.down = false
			m.store.values[tables.BaseKey(20)] = next.Encode()
			m.store.head = &tables.Head{Version: 20, Base: 20}
			m.store.revision++
		})
		m.waitInForce(20, maxApplyTime)
	})
}

// Guards against an invalid head, written by another tool, that stops the watch, floods
// the log or is applied.
func TestInvalidHeadIsRefusedOnce(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.waitInForce(m.store.commit(t), maxApplyTime)
		good := m.store.head
		m.store.update(func() {
			broken := change(2)
			broken.Operations = []tables.Operation{tables.DeletePool{Name: "none"}}
			m.store.head = &tables.Head{Version: 2, Deltas: append(append([]tables.Delta{}, good.Deltas...), broken)}
			m.store.revision++
		})
		time.Sleep(time.Minute)
		m.waitInForce(1, 0)
		for _, d := range m.watchers() {
			is.Equal(logged(d, events.TablesInvalid), 1)
			is.Equal(logged(d, events.StoreDown), 0)
		}
		m.store.update(func() { m.store.head = good })
		m.waitInForce(m.store.commit(t), maxApplyTime)
	})
}

// Guards against a version that goes back and against callbacks out of order, whatever
// changes and snapshots arrive in whatever order.
func TestVersionNeverGoesBack(t *testing.T) {
	const last = 8
	deltas, snapshots := make([][]byte, last+1), make([][]byte, last+1)
	whole := tables.Empty()
	for v := 1; v <= last; v++ {
		d := change(tables.Version(v))
		var err error
		whole, err = whole.Apply(d)
		check(t, err)
		deltas[v], snapshots[v] = d.Encode(), whole.Encode()
	}
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.SliceOf(rapid.IntRange(-last, last+1)).Draw(rt, "versions; negative ones are snapshots")
		runMesh(t, 1, func(t *testing.T, m *mesh) {
			d := m.daemons[0]
			var seen tables.Version
			d.OnChange(func(old, next *tables.Snapshot) {
				if next.Version() <= seen || (old == nil) != (seen == 0) || old != nil && old.Version() != seen {
					t.Errorf("callback with version %d after %d", next.Version(), seen)
				}
				seen = next.Version()
			})
			reached := 0
			for _, v := range order {
				switch {
				case v < 0:
					r := &peerapi.FetchTablesResponse{Version: uint64(-v), Snapshot: snapshots[-v]}
					check(t, d.applyResponse(r, "vm-9", d))
					reached = max(reached, -v)
				case v == 0 || v > last:
					d.Offer("vm-9", tables.Version(v), []byte("{}"))
				default:
					d.Offer("vm-9", tables.Version(v), deltas[v])
				}
				if v == reached+1 && v <= last {
					reached = v
				}
				time.Sleep(fetchTimeout + time.Millisecond) // after a gap, the fetch from the peer times out
				synctest.Wait()
			}
			if d.Version() != tables.Version(reached) {
				t.Errorf("version is %d, want %d", d.Version(), reached)
			}
		})
	})
}
