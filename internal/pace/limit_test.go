package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
)

// coldServer returns a server that stays cold for a minute.
func coldServer() *directory.Server {
	s := testServer(2)
	s.ColdFor, s.ReadAt = time.Minute, epoch
	return s
}

// placeAll places as many flows as the daemons may, and returns their number.
func (f *fleet) placeAll(s *directory.Server, age time.Duration, now time.Time) int {
	placed := 0
	for _, p := range f.pacers {
		for p.MayPlace(s, age, now) {
			p.Placed(s, now)
			placed++
		}
	}
	return placed
}

// Guards against a limit that is exceeded by daemons that do not know of each other's flows,
// or of which a part is never used.
func TestLimitIsSharedOut(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		want      int
	}{{0.5, 1}, {1, 1}, {7.9, 7}, {40, 40}, {1e300, maxShares}} {
		is := is.New(t)
		f := newFleet(62, directory.PoolSettings{ColdPerSecond: c.perSecond})
		settled := epoch.Add(testMaxAge + limitWindow)
		s := coldServer()
		f.apply(settled, directory.Change{Server: s})
		is.Equal(f.placeAll(s, 0, settled), c.want)
		is.Equal(f.placeAll(s, 0, settled.Add(time.Second)), 0)
		if c.perSecond < 1 {
			is.Equal(f.placeAll(s, 0, settled.Add(2*time.Second)), 0)
		}
		is.Equal(f.placeAll(s, 0, settled.Add(2*limitWindow)), c.want)
		warm := settled.Add(time.Minute)
		is.True(f.pacers[0].MayPlace(s, 0, warm)) // no limit once the server is warm
		is.True(f.pacers[0].MayPlace(testServer(1), 0, settled))
		unknown := coldServer()
		unknown.Cookie = 99
		is.True(!f.pacers[0].MayPlace(unknown, 0, settled))
	}
}

// Guards against a limit that is kept only while all daemons have the same list: daemons
// start, stop, lose their registrations, and are cut off from all news.
func TestLimitHoldsWhileTheFleetChanges(t *testing.T) {
	const perSecond = 12
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		f := newFleet(10, directory.PoolSettings{ColdPerSecond: perSecond})
		s := coldServer()
		f.apply(epoch, directory.Change{Server: s})
		const step = 20 * time.Millisecond
		cutUntil := make([]time.Time, len(f.pacers))
		confirmed := make([]time.Time, len(f.pacers))
		registered := make([]bool, len(f.pacers))
		var placed []time.Time
		total := 0
		for now := epoch; now.Before(epoch.Add(40 * time.Second)); now = now.Add(step) {
			i := random.IntN(len(f.pacers))
			switch random.IntN(60) {
			case 0:
				registered[i] = !registered[i]
				vm := directory.Change{VM: &directory.VM{Zone: "a", Addr: daemonAddr(i)}}
				if !registered[i] {
					vm = directory.Change{DeletedVM: daemonAddr(i)}
				}
				f.builder.Apply([]directory.Change{vm}, directory.Position{}, now)
			case 1:
				cutUntil[i] = now.Add(time.Duration(random.Int64N(int64(6 * time.Second))))
			case 2:
				f.pacers[i] = New(f.pacers[i].options) // restarted
				confirmed[i] = time.Time{}
			}
			d := f.builder.Build()
			for j, p := range f.pacers {
				if now.After(cutUntil[j]) {
					p.Apply(d, now)
					confirmed[j] = now
				}
				p.Confirmed(confirmed[j], now)
				for p.daemonsSince != (time.Time{}) && p.MayPlace(s, now.Sub(confirmed[j]), now) {
					p.Placed(s, now)
					placed = append(placed, now)
					total++
				}
			}
			for len(placed) > 0 && now.Sub(placed[0]) >= time.Second {
				placed = placed[1:]
			}
			if len(placed) > perSecond {
				t.Fatalf("seed %d: %d flows in the second up to %v", seed, len(placed), now.Sub(epoch))
			}
		}
		if total == 0 {
			t.Fatalf("seed %d: no flow was placed", seed)
		}
	}
}

// Guards against a daemon that was frozen or is cut off and uses shares that belong to others
// by now.
func TestOldDirectoryGivesNoShares(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, directory.PoolSettings{ColdPerSecond: 5})
	settled := epoch.Add(testMaxAge + limitWindow)
	s := coldServer()
	f.apply(settled, directory.Change{Server: s})
	is.Equal(f.placeAll(s, testMaxAge+1, settled), 0)
	is.Equal(f.placeAll(s, testMaxAge, settled), 5)
}
