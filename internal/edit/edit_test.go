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

// hookBeforeSwap is a store that calls before once, ahead of the next swap of the
// head.
type hookBeforeSwap struct {
	store.Store
	before func()
}

func (s *hookBeforeSwap) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if key == tables.HeadKey && s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	return s.Store.Swap(ctx, key, data, revision)
}

func newEditor(s store.Store, author string) *edit.Editor {
	return edit.New(s, author, metrics.NewRegistry())
}

// changeOf returns a Change that consists of these operations.
func changeOf(ops ...tables.Operation) edit.Change {
	return func(*tables.Snapshot) ([]tables.Operation, error) { return ops, nil }
}

// putMapasServer returns an operation that puts server m1 of pool mapas.
func putMapasServer(weight uint32) tables.PutServer {
	return tables.PutServer{Pool: "mapas", Server: tables.Server{Name: "m1", Zone: "cartago-sur",
		Endpoint: netip.MustParseAddrPort("10.2.0.1:80"), Weight: weight}}
}

// newPlatformWithPools returns a platform whose tables have the pools despacho and
// mapas, both without servers.
func newPlatformWithPools(t *testing.T, o standin.Options) *standin.Platform {
	t.Helper()
	p := standin.New(o)
	_, err := newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(tables.PutPool{Name: "despacho"}, tables.PutPool{Name: "mapas"}))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func read(t *testing.T, p *standin.Platform) *edit.State {
	t.Helper()
	state, err := newEditor(p.Memory(), "reader").Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// Guards against an editor that overwrites a concurrent change of the same entry by
// another editor.
func TestTwoEditorsOfOneEntry(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	s := &hookBeforeSwap{Store: p.Memory(), before: func() {
		_, err := newEditor(p.Memory(), "berta").Write(t.Context(), changeOf(putMapasServer(50)))
		is.NoErr(err)
	}}
	_, err := newEditor(s, "ana").Write(t.Context(), changeOf(putMapasServer(200)))
	conflict, ok := errors.Into[*edit.ConflictError](err)
	is.True(ok)
	is.Equal(len(conflict.Changes), 1)
	is.Equal(conflict.Changes[0].Entry, putMapasServer(0).Entry())
	is.Equal(conflict.Changes[0].Before, "")
	is.Equal(conflict.Changes[0].After, "10.2.0.1:80 zone=cartago-sur weight=50 slots=2 connections=2000 state=active")
	is.Equal(read(t, p).Snapshot.Version(), tables.Version(2))
}

// Guards against an editor that fails or loses the change of another editor when
// both concurrently change different entries.
func TestTwoEditorsOfDifferentEntries(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	s := &hookBeforeSwap{Store: p.Memory(), before: func() {
		_, err := newEditor(p.Memory(), "berta").Write(t.Context(), changeOf(putMapasServer(50)))
		is.NoErr(err)
	}}
	m := metrics.NewRegistry()
	r, err := edit.New(s, "ana", m).Write(t.Context(), changeOf(tables.PutPool{Name: "otro"}))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(3))
	is.Equal(m.Retries().Value(metrics.StoreConflict), int64(1))
	state := read(t, p)
	_, ok := state.Snapshot.Pool("otro")
	is.True(ok)
	is.Equal(state.Snapshot.Describe(putMapasServer(0).Entry()) != "", true)
}

// Guards against a retry on top of tables in which the change is no longer valid.
func TestRebaseValidatesAgain(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	s := &hookBeforeSwap{Store: p.Memory(), before: func() {
		_, err := newEditor(p.Memory(), "berta").Write(t.Context(), changeOf(tables.DeletePool{Name: "mapas"}))
		is.NoErr(err)
	}}
	_, err := newEditor(s, "ana").Write(t.Context(), changeOf(putMapasServer(50)))
	problem, ok := errors.Into[*tables.ValidationError](err)
	is.True(ok)
	is.Equal(problem.Rule, tables.RulePoolMissing)
}

// Guards against a change that is lost or made twice when many editors write
// concurrently.
func TestConcurrentEditors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := standin.New(standin.Options{})
		const editors = 5 // each loses at most 4 swaps to the others, fewer than maxAttempts, which is 6
		versions := make([]tables.Version, editors)
		var wg sync.WaitGroup
		for i := range editors {
			wg.Go(func() {
				pool := tables.PutPool{Name: fmt.Sprint("p", i)}
				r, err := newEditor(p.Memory(), pool.Name).Write(t.Context(), changeOf(pool))
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

// Guards against a write that is reported as failed or made twice because the
// response was lost after the write took effect.
func TestLostAnswerIsResolvedByWriteID(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	p.LoseAnswers(1)
	r, err := newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(putMapasServer(50)))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(2))
	state := read(t, p)
	is.Equal(state.Head.Version, tables.Version(2))
	is.Equal(state.Head.Deltas[1].WriteID, r.WriteID)
}

// Guards against reporting a conflict after a lost response: the change took
// effect, and another editor changed the same entry before the head was read.
func TestLostAnswerFollowedByAnotherWrite(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	s := &hookAfterUnknownOutcome{Store: p.Memory(), after: func() {
		_, err := newEditor(p.Memory(), "berta").Write(t.Context(), changeOf(putMapasServer(50)))
		is.NoErr(err)
	}}
	p.LoseAnswers(1)
	r, err := newEditor(s, "ana").Write(t.Context(), changeOf(putMapasServer(200)))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(2))
	is.Equal(read(t, p).Head.Version, tables.Version(3))
}

// hookAfterUnknownOutcome is a store that calls after when the outcome of a swap is
// unknown.
type hookAfterUnknownOutcome struct {
	store.Store
	after func()
}

func (s *hookAfterUnknownOutcome) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	r, err := s.Store.Swap(ctx, key, data, revision)
	if errors.Is(err, store.ErrUnknownOutcome) {
		s.after()
	}
	return r, err
}

// Guards against an editor that does not retry when a request was lost before it
// took effect.
func TestLostRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	p.LoseRequests(2)
	r, err := newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(putMapasServer(50)))
	is.NoErr(err)
	is.Equal(r.Version, tables.Version(2))
}

// Guards against a change that is reported as not written while its outcome is
// unknown, and against a write id that cannot be found in the head later.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatformWithPools(t, standin.Options{})
		b := store.NewBudget(&hookAfterUnknownOutcome{Store: p.Memory(), after: func() { p.SetDown(true) }}, store.BudgetOptions{})
		p.LoseAnswers(1)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		_, err := newEditor(b, "ana").Write(ctx, changeOf(putMapasServer(50)))
		unknown, ok := errors.Into[*edit.OutcomeUnknownError](err)
		is.True(ok)
		p.SetDown(false)
		head, err := newEditor(p.Memory(), "ana").Head(t.Context())
		is.NoErr(err)
		version, found := head.VersionOfWrite(unknown.WriteID)
		is.True(found)
		is.Equal(version, tables.Version(2))
	})
}

// Guards against an unknown outcome being reported although the store was
// unavailable from the start, so that nothing was written.
func TestStoreDownFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatformWithPools(t, standin.Options{})
		p.SetDown(true)
		b := store.NewBudget(p.Memory(), store.BudgetOptions{})
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		_, err := newEditor(b, "ana").Write(ctx, changeOf(putMapasServer(50)))
		is.True(errors.Is(err, store.ErrUnavailable))
		_, unknown := errors.Into[*edit.OutcomeUnknownError](err)
		is.True(!unknown)
	})
}

// largePool returns a change of about 6 KB, so that the head is compacted after a
// few of them.
func largePool(i int) tables.PutPool {
	p := tables.PutPool{Name: fmt.Sprint("p", i)}
	for j := range 80 {
		endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i), byte(j)}), 80)
		p.Servers = append(p.Servers, tables.Server{Name: fmt.Sprint("s", j), Endpoint: endpoint, Zone: "cartago-sur"})
	}
	return p
}

// Guards against a compaction that loses a change, skips a version, or leaves a head
// whose base is missing, also when responses of the store are lost.
func TestCompactionThroughTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := standin.New(standin.Options{})
		e := newEditor(p.Memory(), "ana")
		const changes = 40
		compactions, base := 0, tables.Version(0)
		for i := range changes {
			p.LoseAnswers(i % 4 / 2) // for the base or the head
			r, err := e.Write(t.Context(), changeOf(largePool(i)))
			is.NoErr(err)
			is.Equal(r.Version, tables.Version(i+1))
			if newBase := read(t, p).Head.Base; newBase != base {
				compactions, base = compactions+1, newBase
			}
		}
		is.True(compactions > 3)
		is.Equal(len(read(t, p).Snapshot.Pools()), changes)
	})
}

// Guards against a head that refers to a base of a different history. After the
// store was restored from a backup it may contain one with the same version.
func TestCompactionReplacesForeignBase(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	for v := range tables.Version(20) {
		_, err := p.Memory().Swap(t.Context(), tables.BaseKey(v+1), []byte("{}"), 0)
		is.NoErr(err)
	}
	for i := range 20 {
		_, err := newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(largePool(i)))
		is.NoErr(err)
	}
	state := read(t, p)
	is.True(state.Head.Base > 0)
	is.Equal(len(state.Snapshot.Pools()), 20)
}

// Guards against writes that are safe only while a lease is held. An editor pauses
// until its lease expires and another editor has acquired the lease and changed the
// tables. When it resumes, its change must be refused, and the older version that
// it read must not be accepted.
func TestExpiredLeaseIsHarmless(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	is.NoErr(p.AcquireLease("editors", "ana", time.Hour))
	var old *edit.State
	paused := &hookBeforeSwap{Store: p.Memory(), before: func() {
		old = read(t, p)
		p.ExpireLease("editors")
		is.NoErr(p.AcquireLease("editors", "berta", time.Hour))
		_, err := newEditor(p.Memory(), "berta").Write(t.Context(), changeOf(putMapasServer(50)))
		is.NoErr(err)
	}}
	_, err := newEditor(paused, "ana").Write(t.Context(), changeOf(putMapasServer(200)))
	_, conflict := errors.Into[*edit.ConflictError](err)
	is.True(conflict)

	// A daemon that paused and then sends out the deltas that it read before must
	// not be able to replace the newer version.
	current := read(t, p).Snapshot
	_, err = current.Apply(old.Head.Deltas[len(old.Head.Deltas)-1])
	stale, ok := errors.Into[*tables.VersionError](err)
	is.True(ok)
	is.True(stale.AlreadyApplied())
}

// Guards against a reservation that expires too early because the clock of the
// operator is behind that of the operator who made the previous change.
func TestClockBehindTheLastChange(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	state := read(t, p)
	ahead := time.Now().Add(time.Hour).UTC().Truncate(time.Millisecond)
	head, err := state.Head.Append(tables.Delta{Version: 2, WriteID: "w", Time: ahead,
		Operations: []tables.Operation{putMapasServer(50)}})
	is.NoErr(err)
	_, err = p.Memory().Swap(t.Context(), tables.HeadKey, head.Encode(), 1)
	is.NoErr(err)
	_, err = newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(tables.DeleteServer{Pool: "mapas", Name: "m1"}))
	is.NoErr(err)
	is.Equal(read(t, p).Snapshot.Reservations()[0].Until, ahead.Add(tables.ReservationPeriod))
}

// Guards against daemons that refuse the tables after the store was restored from a
// backup, and against reusing ids that the lost versions have used.
func TestRenumberAfterRestore(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	backup := p.Backup()
	for i := range 3 {
		_, err := newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(largePool(i)))
		is.NoErr(err)
	}
	daemon := read(t, p).Snapshot
	p.Restore(backup)
	p.LoseAnswers(2) // for the base and the head
	r, err := newEditor(p.Memory(), "ana").Renumber(t.Context(), daemon.Version())
	is.NoErr(err)
	is.Equal(r.Version, daemon.Version()+1)
	_, err = newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(putMapasServer(50)))
	is.NoErr(err)
	state := read(t, p)
	is.Equal(state.Snapshot.Version(), daemon.Version()+2)
	_, ok := state.Head.DeltasSince(daemon.Version())
	is.True(!ok) // so the daemon has to load the base
	added, ok := state.Snapshot.Server("mapas", "m1")
	is.True(ok)
	_, used := daemon.ServerByID(added.ID)
	is.True(!used)
	_, err = newEditor(p.Memory(), "ana").Renumber(t.Context(), 1)
	is.True(err != nil) // versions must not go back
}

// Guards against a change without effect that creates a new version.
func TestChangeWithoutEffect(t *testing.T) {
	is := is.New(t)
	p := newPlatformWithPools(t, standin.Options{})
	r, err := newEditor(p.Memory(), "ana").Write(t.Context(), changeOf(tables.PutPool{Name: "mapas"}))
	is.NoErr(err)
	is.Equal(r, edit.Result{Version: 1})
}
