package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/store"
)

// Guards against two writes that both succeed on the same revision.
func TestSwapIsCompareAndSwap(t *testing.T) {
	is := is.New(t)
	m := New(Options{}).Memory()
	rev, err := m.Swap(t.Context(), "k", []byte("a"), 0)
	is.NoErr(err)
	_, err = m.Swap(t.Context(), "k", []byte("b"), 0)
	is.True(errors.Is(err, store.ErrConflict))
	rev2, err := m.Swap(t.Context(), "k", []byte("b"), rev)
	is.NoErr(err)
	is.True(rev2 > rev)
}

// Guards against a lost answer that is reported as a failure, or whose write does
// not take effect.
func TestLostAnswerAfterEffect(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	m := p.Memory()
	p.LoseAnswers(1)
	_, err := m.Swap(t.Context(), "k", []byte("a"), 0)
	is.True(errors.Is(err, store.ErrUnknownOutcome))
	v, err := m.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(v.Data), "a")
}

// Guards against a watch that misses a write, or that waits longer than it should.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Options{}).Memory()
		go func() {
			time.Sleep(time.Second)
			m.Swap(context.Background(), "k", []byte("a"), 0)
		}()
		v, err := m.Watch(t.Context(), "k", 0)
		is.NoErr(err)
		is.Equal(string(v.Data), "a")
		start := time.Now()
		_, err = m.Watch(t.Context(), "k", v.Revision)
		is.True(errors.Is(err, store.ErrNotModified))
		is.Equal(time.Since(start), DefaultWatchWait)
	})
}

// Guards against a rate limit that is not enforced, or that never admits calls
// again.
func TestThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Options{ReadsPerSecond: 2}).Memory()
		for range 2 {
			_, err := m.Get(t.Context(), "k")
			is.True(errors.Is(err, store.ErrNotFound))
		}
		_, err := m.Get(t.Context(), "k")
		is.True(errors.Is(err, store.ErrThrottled))
		time.Sleep(time.Second)
		_, err = m.Get(t.Context(), "k")
		is.True(errors.Is(err, store.ErrNotFound))
	})
}

// Guards against a list of VMs that shows a change before Options.VMLag.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Options{VMLag: 5 * time.Second})
		p.AddVM(store.VM{Name: "a"})
		time.Sleep(5 * time.Second)
		p.RemoveVM("a")
		vms, err := p.Memory().VMs(t.Context())
		is.NoErr(err)
		is.Equal(len(vms), 1)
		time.Sleep(5 * time.Second)
		vms, err = p.Memory().VMs(t.Context())
		is.NoErr(err)
		is.Equal(len(vms), 0)
	})
}
