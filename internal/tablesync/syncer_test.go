package tablesync

import (
	"context"
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

// inForceLimit is promise P8.
const inForceLimit = 5 * time.Second

// Guards against a change that is in force late because watchers died just
// before or after it was accepted.
func TestChangeIsInForceWhenWatchersDie(t *testing.T) {
	inMesh(t, 12, func(t *testing.T, m *mesh) {
		m.inForce(m.store.commit(t), inForceLimit)
		m.inForce(m.store.commit(t), 100*time.Millisecond) // by floods, without heartbeats
		before := m.watchers()
		m.crash(before[0]) // both watchers of one zone
		m.crash(before[3])
		m.inForce(m.store.commit(t), inForceLimit)
		m.crash(before[1])
		v := m.store.commit(t)
		m.crash(before[2])
		m.inForce(v, inForceLimit)
		time.Sleep(5 * time.Second)
		is.New(t).True(len(m.watchers()) >= 4)
		m.inForce(m.store.commit(t), inForceLimit)
	})
}

// Guards against a change that only one watcher has seen when the store goes
// down straight after accepting it.
func TestChangeIsInForceWhenStoreGoesDown(t *testing.T) {
	inMesh(t, 12, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.inForce(m.store.commit(t), inForceLimit)
		m.store.set(func() { m.store.lastGasp = true })
		m.inForce(m.store.commit(t), inForceLimit)
		m.store.set(func() { is.True(m.store.down) })

		time.Sleep(2 * oldAge)
		is.True(m.all(func(d *daemon) bool { return d.Age() > oldAge && logged(d, events.TablesOld) == 1 }))
		m.inForce(2, 0) // still in force, and a new VM gets it from a peer
		joined := m.start()
		time.Sleep(time.Second)
		is.Equal(joined.Version(), tables.Version(2))

		m.store.set(func() { m.store.down, m.store.lastGasp = false, false })
		m.inForce(m.store.commit(t), inForceLimit) // no long pause after an outage
		time.Sleep(inForceLimit)
		is.True(m.all(func(d *daemon) bool { return d.Age() < inForceLimit }))
	})
}

// Guards against a starting daemon that reads the store before its peers could
// answer, and against a watcher that pauses for long after an outage.
func TestLoneDaemonFollowsStore(t *testing.T) {
	inMesh(t, 1, func(t *testing.T, m *mesh) {
		is := is.New(t)
		v := m.store.commit(t)
		time.Sleep(500 * time.Millisecond)
		m.store.set(func() { is.Equal(m.store.calls, 0) })
		m.inForce(v, inForceLimit)
		for range 3 {
			m.store.set(func() { m.store.down = true })
			time.Sleep(2 * time.Minute)
			m.store.set(func() { m.store.down = false })
			m.inForce(m.store.commit(t), inForceLimit)
		}
	})
}

func logged(d *daemon, e events.Event) int { return d.logs.FilterMessage(e.Message).Len() }

// Guards against a fleet that reads the store as often as it has daemons when
// it starts, and against one that starts without tables.
func TestStartAsksPeersFirst(t *testing.T) {
	inMesh(t, 0, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.store.commit(t)
		m.store.set(func() { m.store.down = true })
		for range 9 {
			m.start()
		}
		time.Sleep(time.Minute)
		is.True(m.all(func(d *daemon) bool { return d.Current() == nil }))
		m.store.set(func() { m.store.down, m.store.calls = false, 0 })
		m.inForce(1, inForceLimit)
		m.store.set(func() { is.True(m.store.calls <= len(m.watchers())+2) })

		time.Sleep(time.Second)
		m.store.set(func() { m.store.down, m.store.calls = true, 0 })
		d := m.start()
		time.Sleep(time.Second)
		is.Equal(d.Version(), tables.Version(1))
	})
}

// Guards against a daemon that stays behind after it missed floods: it gets the
// deltas from a peer, or the whole snapshot if these are too old.
func TestGapIsFilledFromPeer(t *testing.T) {
	for name, missed := range map[string]int{"deltas": 3, "snapshot": logEntries + 3} {
		t.Run(name, func(t *testing.T) {
			inMesh(t, 2, func(t *testing.T, m *mesh) {
				is := is.New(t)
				m.inForce(m.store.commit(t), inForceLimit)
				ahead, behind := m.daemons[0], m.daemons[1]
				m.crash(behind)
				synctest.Wait()
				for range missed {
					m.store.commit(t)
				}
				time.Sleep(time.Second)
				m.store.set(func() { m.store.down = true })
				is.Equal(ahead.Version(), tables.Version(missed+1))
				is.Equal(len(ahead.Fetch(behind.Version()).GetDeltas()) > 0, name == "deltas")
				check(t, behind.fetch(t.Context(), ahead.name, directPeer{behind, ahead}))
				is.Equal(behind.Version(), ahead.Version())
				is.Equal(behind.Current().Encode(), ahead.Current().Encode())
			})
		})
	}
}

// directPeer lets a daemon fetch from another one outside the mesh.
type directPeer struct {
	*daemon
	from *daemon
}

func (p directPeer) FetchTables(_ context.Context, _ member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error) {
	return p.from.Fetch(have), nil
}

// Guards against floods that are lost: heartbeats must show the gap.
func TestLostFloodsAreNoticed(t *testing.T) {
	inMesh(t, 9, func(t *testing.T, m *mesh) {
		for _, d := range m.daemons {
			d.silent = true
		}
		m.inForce(m.store.commit(t), inForceLimit)
		m.inForce(m.store.commit(t), inForceLimit)
	})
}

// Guards against an older version that a restored store or a watcher that
// resumes after a pause brings back.
func TestOlderVersionIsRefused(t *testing.T) {
	inMesh(t, 3, func(t *testing.T, m *mesh) {
		is := is.New(t)
		old := change(1)
		for range 3 {
			m.store.commit(t)
		}
		m.inForce(3, inForceLimit)
		time.Sleep(time.Second) // floods that crossed a newer one count as well
		d := m.daemons[0]
		stale := d.cfg.Metrics.Refusals().Value(metrics.StaleTables)
		d.Offer("vm-1", 1, old.Encode())
		is.Equal(d.cfg.Metrics.Refusals().Value(metrics.StaleTables), stale+1)

		deltas, _ := m.store.head.DeltasSince(0)
		m.store.set(func() {
			m.store.head = &tables.Head{Version: 2, Deltas: deltas[:2]}
			m.store.revision = 1 // lower than what the watches wait for
		})
		time.Sleep(rereadInterval + 2*store.WatchWait)
		m.inForce(3, 0)
		for _, d := range m.watchers() {
			is.True(d.cfg.Metrics.Refusals().Value(metrics.TablesRegressed) >= 1)
			is.Equal(logged(d, events.TablesRegressed), 1)
			is.True(d.Age() > time.Second) // a refused head confirms nothing
		}
	})
}

// Guards against changes of a restored store that are applied to tables of the
// lost history, and against a daemon that never gets to the new history. Here
// the daemons also come from a base that only the store has.
func TestRestoredStoreIsFollowedOnceItIsNewer(t *testing.T) {
	inMesh(t, 9, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.store.commit(t)
		backup := m.store.head
		m.store.commit(t)
		m.inForce(m.store.commit(t), inForceLimit)
		lost := m.daemons[0].Current().Encode()

		m.store.set(func() { m.store.head, m.store.revision = backup, 1 })
		time.Sleep(rereadInterval + store.WatchWait)
		m.store.commit(t)
		m.store.commit(t) // version 3 of another history
		time.Sleep(time.Second)
		is.True(m.all(func(d *daemon) bool { return string(d.Current().Encode()) == string(lost) }))

		m.inForce(m.store.commit(t), inForceLimit)
		want, err := m.store.head.Replay(tables.Empty(), 4)
		is.NoErr(err)
		is.True(m.all(func(d *daemon) bool { return string(d.Current().Encode()) == string(want.Encode()) }))

		base, err := want.Renumber(20, tables.NewWriteID()) // what the recover command does
		is.NoErr(err)
		m.store.set(func() {
			m.store.values[tables.BaseKey(20)] = base.Encode()
			m.store.head = &tables.Head{Version: 20, Base: 20}
			m.store.revision++
		})
		m.inForce(20, inForceLimit)
	})
}

// Guards against a head of another tool that stops the watch, fills the log or
// comes into force.
func TestInvalidHeadIsRefusedOnce(t *testing.T) {
	inMesh(t, 3, func(t *testing.T, m *mesh) {
		is := is.New(t)
		m.inForce(m.store.commit(t), inForceLimit)
		good := m.store.head
		m.store.set(func() {
			broken := change(2)
			broken.Operations = []tables.Operation{tables.DeletePool{Name: "none"}}
			m.store.head = &tables.Head{Version: 2, Deltas: append(append([]tables.Delta{}, good.Deltas...), broken)}
			m.store.revision++
		})
		time.Sleep(time.Minute)
		m.inForce(1, 0)
		for _, d := range m.watchers() {
			is.Equal(logged(d, events.TablesInvalid), 1)
			is.Equal(logged(d, events.StoreDown), 0)
		}
		m.store.set(func() { m.store.head = good })
		m.inForce(m.store.commit(t), inForceLimit)
	})
}

// Guards against a version that goes back and callbacks out of order, whatever
// changes and snapshots peers send in whatever order.
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
		inMesh(t, 1, func(t *testing.T, m *mesh) {
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
					check(t, d.take(r, "vm-9", d))
					reached = max(reached, -v)
				case v == 0 || v > last:
					d.Offer("vm-9", tables.Version(v), []byte("{}"))
				default:
					d.Offer("vm-9", tables.Version(v), deltas[v])
				}
				if v == reached+1 && v <= last {
					reached = v
				}
				time.Sleep(fetchTimeout + time.Millisecond) // a gap makes it ask a peer in vain
				synctest.Wait()
			}
			if d.Version() != tables.Version(reached) {
				t.Errorf("version is %d, want %d", d.Version(), reached)
			}
		})
	})
}
