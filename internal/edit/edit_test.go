package edit_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/edit"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	standin "knapweedshore.example/standin/store"
)

// interrupted is a store that runs a function once before a swap of the head.
type interrupted struct {
	store.Store
	before func()
}

func (s *interrupted) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if key == tables.HeadKey && s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	return s.Store.Swap(ctx, key, data, revision)
}

func editor(s store.Store, author string) *edit.Editor {
	return edit.New(s, author, metrics.NewRegistry())
}

func put(ops ...tables.Operation) edit.Change {
	return func(*tables.Snapshot) ([]tables.Operation, error) { return ops, nil }
}

func mapas(weight uint32) tables.PutServer {
	return tables.PutServer{Pool: "mapas", Server: tables.Server{Name: "m1", Zone: "cartago-sur",
		Endpoint: netip.MustParseAddrPort("10.2.0.1:80"), Weight: weight}}
}

// withPools returns a platform whose tables have the pools despacho and mapas.
func withPools(t *testing.T, o standin.Options) *standin.Platform {
	t.Helper()
	p := standin.New(o)
	_, err := editor(p.Memory(), "ana").Write(t.Context(), put(tables.PutPool{Name: "despacho"}, tables.PutPool{Name: "mapas"}))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func read(t *testing.T, p *standin.Platform) *edit.State {
	t.Helper()
	state, err := editor(p.Memory(), "reader").Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// Guards against an editor that overwrites what another one has just written
// to the same entry.
func TestTwoEditorsOfOneEntry(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	s := &interrupted{Store: p.Memory(), before: func() {
		_, err := editor(p.Memory(), "berta").Write(t.Context(), put(mapas(50)))
		is.NoErr(err)
	}}
	_, err := editor(s, "ana").Write(t.Context(), put(mapas(200)))
	conflict, ok := errors.Into[*edit.ConflictError](err)
	is.True(ok)
	is.Equal(len(conflict.Changes), 1)
	is.Equal(conflict.Changes[0].Entry, mapas(0).Entry())
	is.Equal(conflict.Changes[0].Before, "")
	is.Equal(conflict.Changes[0].After, "10.2.0.1:80 zone=cartago-sur weight=50 slots=2 connections=2000 state=active")
	is.Equal(read(t, p).Snapshot.Version(), tables.Version(2))
}

// Guards against an editor that fails, or loses the other's change, although
// the two edited different entries.
func TestTwoEditorsOfDifferentEntries(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	s := &interrupted{Store: p.Memory(), before: func() {
		_, err := editor(p.Memory(), "berta").Write(t.Context(), put(mapas(50)))
		is.NoErr(err)
	}}
	m := metrics.NewRegistry()
	r, err := edit.New(s, "ana", m).Write(t.Context(), put(tables.PutPool{Name: "otro"}))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(3))
	is.Equal(m.Retries().Value(metrics.StoreConflict), int64(1))
	state := read(t, p)
	_, ok := state.Snapshot.Pool("otro")
	is.True(ok)
	is.Equal(state.Snapshot.Describe(mapas(0).Entry()) != "", true)
}

// Guards against a rebase onto tables in which the change is invalid.
func TestRebaseValidatesAgain(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	s := &interrupted{Store: p.Memory(), before: func() {
		_, err := editor(p.Memory(), "berta").Write(t.Context(), put(tables.DeletePool{Name: "mapas"}))
		is.NoErr(err)
	}}
	_, err := editor(s, "ana").Write(t.Context(), put(mapas(50)))
	problem, ok := errors.Into[*tables.ValidationError](err)
	is.True(ok)
	is.Equal(problem.Rule, tables.RulePoolMissing)
}

// Guards against many editors of which one's change is lost or made twice.
func TestConcurrentEditors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := standin.New(standin.Options{})
		const editors = 5 // each loses at most 4 races, and a change is tried 6 times
		versions := make([]tables.Version, editors)
		var wg sync.WaitGroup
		for i := range editors {
			wg.Go(func() {
				pool := tables.PutPool{Name: fmt.Sprint("p", i)}
				r, err := editor(p.Memory(), pool.Name).Write(t.Context(), put(pool))
				is.NoErr(err)
				versions[i] = r.Version
			})
		}
		wg.Wait()
		seen := map[tables.Version]bool{}
		for _, v := range versions {
			seen[v] = true
		}
		is.Equal(len(seen), editors)
		is.Equal(len(read(t, p).Snapshot.Pools()), editors)
		is.Equal(read(t, p).Head.Version, tables.Version(editors))
	})
}

// Guards against a write that is reported as failed or made twice because its
// answer was lost after it took effect.
func TestLostAnswerIsResolvedByWriteID(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	p.LoseAnswers(1)
	r, err := editor(p.Memory(), "ana").Write(t.Context(), put(mapas(50)))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(2))
	state := read(t, p)
	is.Equal(state.Head.Version, tables.Version(2))
	is.Equal(state.Head.Deltas[1].WriteID, r.WriteID)
}

// Guards against a lost answer that is taken for the other editor's conflict:
// the change took effect, and another one followed before the head was read.
func TestLostAnswerFollowedByAnotherWrite(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	s := &afterLoss{Store: p.Memory(), then: func() {
		_, err := editor(p.Memory(), "berta").Write(t.Context(), put(mapas(50)))
		is.NoErr(err)
	}}
	p.LoseAnswers(1)
	r, err := editor(s, "ana").Write(t.Context(), put(mapas(200)))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(2))
	is.Equal(read(t, p).Head.Version, tables.Version(3))
}

// afterLoss is a store that runs a function when the outcome of a swap is
// unknown.
type afterLoss struct {
	store.Store
	then func()
}

func (s *afterLoss) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	r, err := s.Store.Swap(ctx, key, data, revision)
	if errors.Is(err, store.ErrUnknownOutcome) {
		s.then()
	}
	return r, err
}

// Guards against a change that is given up although the request was lost
// before it took effect.
func TestLostRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	p.LoseRequests(2)
	r, err := editor(p.Memory(), "ana").Write(t.Context(), put(mapas(50)))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(2))
}

// Guards against a change that is reported as not made while its outcome is
// unknown, and against a write id that cannot be found later.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := withPools(t, standin.Options{})
		b := store.NewBudget(&afterLoss{Store: p.Memory(), then: func() { p.SetDown(true) }}, store.BudgetOptions{})
		p.LoseAnswers(1)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		_, err := editor(b, "ana").Write(ctx, put(mapas(50)))
		unknown, ok := errors.Into[*edit.OutcomeUnknownError](err)
		is.True(ok)
		p.SetDown(false)
		head, err := editor(p.Memory(), "ana").Head(t.Context())
		is.NoErr(err)
		version, found := head.VersionOfWrite(unknown.WriteID)
		is.True(found)
		is.Equal(version, tables.Version(2))
	})
}

// Guards against "outcome unknown" when the store was away from the start:
// nothing was written then.
func TestStoreDownFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := withPools(t, standin.Options{})
		p.SetDown(true)
		b := store.NewBudget(p.Memory(), store.BudgetOptions{})
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		_, err := editor(b, "ana").Write(ctx, put(mapas(50)))
		is.True(errors.Is(err, store.ErrUnavailable))
		_, unknown := errors.Into[*edit.OutcomeUnknownError](err)
		is.True(!unknown)
	})
}

// largePool is a change of about 6 KB, so that a head is compacted after a few.
func largePool(i int) tables.PutPool {
	p := tables.PutPool{Name: fmt.Sprint("p", i)}
	for j := range 80 {
		endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i), byte(j)}), 80)
		p.Servers = append(p.Servers, tables.Server{Name: fmt.Sprint("s", j), Endpoint: endpoint, Zone: "cartago-sur"})
	}
	return p
}

// Guards against a compaction that loses a change, skips a version, or leaves
// a head that names no base, with answers lost on the way.
func TestCompactionThroughTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := standin.New(standin.Options{})
		e := editor(p.Memory(), "ana")
		const changes = 40
		compactions, base := 0, tables.Version(0)
		for i := range changes {
			p.LoseAnswers(i % 4 / 2) // of the base or of the head
			r, err := e.Write(t.Context(), put(largePool(i)))
			is.NoErr(err)
			is.Equal(r.Version, tables.Version(i+1))
			if now := read(t, p).Head.Base; now != base {
				compactions, base = compactions+1, now
			}
		}
		is.True(compactions > 3)
		is.Equal(len(read(t, p).Snapshot.Pools()), changes)
	})
}

// Guards against a head that names a base of another history: after a restore
// from a backup the store may hold one under the same version.
func TestCompactionReplacesForeignBase(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	for v := range tables.Version(20) {
		_, err := p.Memory().Swap(t.Context(), tables.BaseKey(v+1), []byte("{}"), 0)
		is.NoErr(err)
	}
	for i := range 20 {
		_, err := editor(p.Memory(), "ana").Write(t.Context(), put(largePool(i)))
		is.NoErr(err)
	}
	state := read(t, p)
	is.True(state.Head.Base > 0)
	is.Equal(len(state.Snapshot.Pools()), 20)
}

// Guards against power that comes from a lease: an editor pauses, its lease
// lapses, another one takes the lease and writes, and the first resumes. Its
// change must be refused, and the version that it knows must not return.
func TestLapsedLeaseIsHarmless(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	is.NoErr(p.AcquireLease("editors", "ana", time.Hour))
	var old *edit.State
	paused := &interrupted{Store: p.Memory(), before: func() {
		old = read(t, p)
		p.LapseLease("editors")
		is.NoErr(p.AcquireLease("editors", "berta", time.Hour))
		_, err := editor(p.Memory(), "berta").Write(t.Context(), put(mapas(50)))
		is.NoErr(err)
	}}
	_, err := editor(paused, "ana").Write(t.Context(), put(mapas(200)))
	_, conflict := errors.Into[*edit.ConflictError](err)
	is.True(conflict)

	// A paused watcher that floods what it read before is not newer either.
	now := read(t, p).Snapshot
	_, err = now.Apply(old.Head.Deltas[len(old.Head.Deltas)-1])
	stale, ok := errors.Into[*tables.VersionError](err)
	is.True(ok)
	is.True(stale.AlreadyApplied())
}

// Guards against a reservation that ends too early because the clock of the
// operator who made the change is behind that of the one before.
func TestClockBehindTheLastChange(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	state := read(t, p)
	ahead := time.Now().Add(time.Hour).UTC().Truncate(time.Millisecond)
	head, err := state.Head.Append(tables.Delta{Version: 2, WriteID: "w", Time: ahead,
		Operations: []tables.Operation{mapas(50)}})
	is.NoErr(err)
	_, err = p.Memory().Swap(t.Context(), tables.HeadKey, head.Encode(), 1)
	is.NoErr(err)
	_, err = editor(p.Memory(), "ana").Write(t.Context(), put(tables.DeleteServer{Pool: "mapas", Name: "m1"}))
	is.NoErr(err)
	is.Equal(read(t, p).Snapshot.Reservations()[0].Until, ahead.Add(tables.ReservationPeriod))
}

// Guards against a restored store whose tables no daemon accepts any more, or
// only together with ids that the lost versions have used.
func TestRenumberAfterRestore(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	backup := p.Backup()
	for i := range 3 {
		_, err := editor(p.Memory(), "ana").Write(t.Context(), put(largePool(i)))
		is.NoErr(err)
	}
	daemon := read(t, p).Snapshot
	p.Restore(backup)
	p.LoseAnswers(2) // of the base and of the head
	r, err := editor(p.Memory(), "ana").Renumber(t.Context(), daemon.Version())
	is.NoErr(err)
	is.Equal(r.Version, daemon.Version()+1)
	_, err = editor(p.Memory(), "ana").Write(t.Context(), put(mapas(50)))
	is.NoErr(err)
	now := read(t, p)
	is.Equal(now.Snapshot.Version(), daemon.Version()+2)
	_, ok := now.Head.DeltasSince(daemon.Version())
	is.True(!ok) // the daemon loads the base
	added, ok := now.Snapshot.Server("mapas", "m1")
	is.True(ok)
	_, used := daemon.ServerByID(added.ID)
	is.True(!used)
	_, err = editor(p.Memory(), "ana").Renumber(t.Context(), 1)
	is.True(err != nil) // versions never regress
}

// Guards against a change that makes a version although it changes nothing.
func TestChangeWithoutEffect(t *testing.T) {
	is := is.New(t)
	p := withPools(t, standin.Options{})
	r, err := editor(p.Memory(), "ana").Write(t.Context(), put(tables.PutPool{Name: "mapas"}))
	is.NoErr(err)
	is.Equal(r, edit.Result{Version: 1})
}
