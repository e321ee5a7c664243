package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Guards against a server that works faster than its speed and its slots
// allow, which would hide imbalance.
func TestWorkTakesItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWork(2, 2, 0)
		w.start()
		started := time.Now()
		var requests conc.WaitGroup
		for range 6 {
			requests.Go(func() { is.NoErr(w.do(context.Background(), time.Second, func() {})) })
		}
		requests.Wait()
		is.Equal(time.Since(started), 1500*time.Millisecond) // 3 rounds of 2 requests of 0.5 s
		is.Equal(time.Duration(w.busy.Load()), 3*time.Second)
	})
}

// Guards against a started server that is as fast as a warm one.
func TestColdServerGetsFaster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWork(2, 1, 10*time.Second)
		w.start()
		is.Equal(w.speedNow(), 2*coldShare)
		time.Sleep(5 * time.Second)
		is.Equal(w.speedNow(), 2*(coldShare+(1-coldShare)/2))
		time.Sleep(5 * time.Second)
		is.Equal(w.speedNow(), 2.0)
	})
}

// Guards against a cancelled request that is executed later.
func TestCancelledRequestIsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWork(1, 1, 0)
		var first conc.WaitGroup
		first.Go(func() { is.NoErr(w.do(context.Background(), time.Second, func() {})) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := w.do(ctx, time.Second, func() { t.Error("executed") })
		is.True(err != nil)
		first.Wait()
	})
}
