package selection

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"knapweedshore.example/internal/tables"
)

func drawPool(t *rapid.T) *tables.Pool {
	return newPool(rapid.SliceOfN(rapid.Uint32Range(1, 1000), 2, 20).Draw(t, "weights"), 2)
}

func defaultID(key uint64, p *tables.Pool) tables.ServerID {
	s, ok := Default(key, p)
	if !ok {
		return 0
	}
	return s.ID
}

// Guards against balancers that compute different default servers because their
// tables list the servers in a different order.
func TestDefaultIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPool(t)
		q := &tables.Pool{Name: p.Name, Servers: rapid.Permutation(p.Servers).Draw(t, "order")}
		key := rapid.Uint64().Draw(t, "key")
		if a, b := defaultID(key, p), defaultID(key, q); a != b {
			t.Fatalf("server %d in one order and %d in the other", a, b)
		}
	})
}

// Guards against flows that move although their own server has not changed. A
// draining server must move only its own flows.
func TestDefaultMovesOnlyFlowsOfTheChangedServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPool(t)
		key := rapid.Uint64().Draw(t, "key")
		before := defaultID(key, p)
		i := rapid.IntRange(0, len(p.Servers)-1).Draw(t, "changed")
		p.Servers[i].State = tables.Draining
		after := defaultID(key, p)
		if after == p.Servers[i].ID {
			t.Fatalf("draining server %d is a default", after)
		}
		if before != p.Servers[i].ID && before != after {
			t.Fatalf("flow moved from %d to %d when %d changed", before, after, p.Servers[i].ID)
		}
	})
}

// Guards against a raised weight that moves flows between other servers.
func TestDefaultMovesOnlyToTheServerOfHigherWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPool(t)
		key := rapid.Uint64().Draw(t, "key")
		before := defaultID(key, p)
		i := rapid.IntRange(0, len(p.Servers)-1).Draw(t, "changed")
		p.Servers[i].Weight *= 2
		if after := defaultID(key, p); after != before && after != p.Servers[i].ID {
			t.Fatalf("flow moved from %d to %d when %d was raised", before, after, p.Servers[i].ID)
		}
	})
}

// Guards against default servers that ignore the operator's weights.
func TestDefaultFollowsWeights(t *testing.T) {
	is := is.New(t)
	p := newPool([]uint32{50, 100, 250}, 2)
	rng := rand.New(rand.NewPCG(1, 1))
	const flows = 40_000
	got := map[tables.ServerID]float64{}
	for range flows {
		got[defaultID(rng.Uint64(), p)]++
	}
	for _, s := range p.Servers {
		ratio := got[s.ID] / flows / (float64(s.Weight) / 400)
		is.True(ratio > 0.95 && ratio < 1.05) // within 5% of the share by weight
	}
}

// Guards against a release that computes other default servers than the previous
// one: during a rolling upgrade the balancers would disagree about open flows.
func TestDefaultIsStableAcrossReleases(t *testing.T) {
	is := is.New(t)
	p := newPool([]uint32{100, 100, 100, 50, 200, 100, 100}, 2)
	got := []tables.ServerID{}
	for key := range uint64(8) {
		got = append(got, defaultID(key*0x9E3779B97F4A7C15, p))
	}
	is.Equal(got, []tables.ServerID{100, 105, 101, 104, 105, 101, 100, 104})
}

// Guards against a default server for a pool without active servers.
func TestDefaultOfPoolWithoutActiveServer(t *testing.T) {
	is := is.New(t)
	p := newPool([]uint32{100}, 2)
	p.Servers[0].State = tables.Draining
	_, ok := Default(1, p)
	is.True(!ok)
	_, ok = Default(1, &tables.Pool{})
	is.True(!ok)
}
