package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Guards against a server that works faster than its speed and slots allow,
// which would hide imbalance.
func TestWorkTakesItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newProcessor(2, 2, 0)
		p.start()
		started := time.Now()
		var requests conc.WaitGroup
		for range 6 {
			requests.Go(func() { is.NoErr(p.run(context.Background(), time.Second, func() {})) })
		}
		requests.Wait()
		is.Equal(time.Since(started), 1500*time.Millisecond) // 3 rounds of 2 requests of 0.5 s
		is.Equal(time.Duration(p.busy.Load()), 3*time.Second)
	})
}

// Guards against a server without a warm-up after its start.
func TestColdServerGetsFaster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newProcessor(2, 1, 10*time.Second)
		p.start()
		is.Equal(p.currentSpeed(), 2*coldSpeedFraction)
		time.Sleep(5 * time.Second)
		is.Equal(p.currentSpeed(), 2*(coldSpeedFraction+(1-coldSpeedFraction)/2))
		time.Sleep(5 * time.Second)
		is.Equal(p.currentSpeed(), 2.0)
	})
}

// Guards against the execution of a request that was cancelled while it waited
// for a slot.
func TestCancelledRequestIsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newProcessor(1, 1, 0)
		var first conc.WaitGroup
		first.Go(func() { is.NoErr(p.run(context.Background(), time.Second, func() {})) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := p.run(ctx, time.Second, func() { t.Error("executed") })
		is.True(err != nil)
		first.Wait()
	})
}
