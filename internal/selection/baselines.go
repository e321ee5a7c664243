package selection

import (
	"math/rand/v2"
	"sync"
	"time"

	"knapweedshore.example/internal/tables"
)

// Baseline is a well-known policy that the Chooser is measured against. Every
// Baseline respects the operator's weights, the server states of the tables and
// the connection limits. None learns server speeds, ejects servers or applies a
// slow start.
type Baseline struct {
	pick pickFunc

	mu             sync.Mutex
	rng            *rand.Rand
	share          float64
	flows          map[tables.ServerID]int
	currentWeights map[tables.ServerID]int64
	candidates     []*tables.Server
}

var _ Policy = (*Baseline)(nil)

// pickFunc returns one of b.candidates, which is not empty. The caller holds
// b.mu.
type pickFunc func(b *Baseline, key uint64) *tables.Server

// NewRandom returns the policy that picks a server at random, in proportion to
// the weights.
func NewRandom(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).pickRandom) }

// NewRoundRobin returns smooth weighted round robin. Owners with different
// seeds start at different positions.
func NewRoundRobin(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).pickRoundRobin) }

// NewRendezvous returns plain weighted rendezvous hashing.
func NewRendezvous() *Baseline { return newBaseline(0, (*Baseline).pickHighestScore) }

// NewLeastConnections returns the policy that picks the server with the fewest
// open flows per unit of weight. Ties are broken at random.
func NewLeastConnections(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).pickMinLoad) }

// NewTwoChoices returns the policy that draws two servers at random and picks
// the one with fewer open flows per unit of weight.
func NewTwoChoices(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).pickBetterOfTwo) }

func newBaseline(seed uint64, p pickFunc) *Baseline {
	return &Baseline{
		pick:           p,
		rng:            rand.New(rand.NewPCG(seed, 0)),
		share:          1,
		flows:          map[tables.ServerID]int{},
		currentWeights: map[tables.ServerID]int64{},
	}
}

// Choose implements Policy.
func (b *Baseline) Choose(r Request) (Choice, error) {
	defaultServer, ok := Default(r.Key, r.Pool)
	if !ok {
		return Choice{}, errNoUsableServer
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limited := b.findCandidates(r)
	switch {
	case len(b.candidates) == 0 && limited:
		return Choice{}, errServerLimit
	case len(b.candidates) == 0:
		return Choice{}, errNoUsableServer
	}
	s := b.pick(b, r.Key)
	return Choice{Server: s, Default: s == defaultServer}, nil
}

// findCandidates fills b.candidates with the usable servers. limited reports
// whether a server was left out because its connection limit is reached.
func (b *Baseline) findCandidates(r Request) (limited bool) {
	b.candidates = b.candidates[:0]
	for i := range r.Pool.Servers {
		s := &r.Pool.Servers[i]
		switch {
		case s.State != tables.Active, r.Avoid != nil && r.Avoid(s):
		case b.flows[s.ID] >= limitShare(s.Connections, b.share):
			limited = true
		default:
			b.candidates = append(b.candidates, s)
		}
	}
	return limited
}

func (b *Baseline) pickRandom(uint64) *tables.Server {
	total := 0
	for _, s := range b.candidates {
		total += int(s.Weight)
	}
	remaining := b.rng.IntN(max(1, total))
	for _, s := range b.candidates {
		if remaining -= int(s.Weight); remaining < 0 {
			return s
		}
	}
	return b.candidates[0]
}

// pickRoundRobin raises the current weight of every candidate by its weight,
// picks the highest and lowers that one by the sum of the weights. This
// interleaves servers of unequal weight.
func (b *Baseline) pickRoundRobin(uint64) *tables.Server {
	var total int64
	var best *tables.Server
	for _, s := range b.candidates {
		if _, ok := b.currentWeights[s.ID]; !ok {
			b.currentWeights[s.ID] = b.rng.Int64N(int64(s.Weight) + 1)
		}
		b.currentWeights[s.ID] += int64(s.Weight)
		total += int64(s.Weight)
		if best == nil || b.currentWeights[s.ID] > b.currentWeights[best.ID] {
			best = s
		}
	}
	b.currentWeights[best.ID] -= total
	return best
}

func (b *Baseline) pickHighestScore(key uint64) *tables.Server {
	var best *tables.Server
	bestScore := 0.0
	for _, s := range b.candidates {
		score := float64(s.Weight) * rendezvousScore(key, s.ID)
		if best == nil || outranks(score, s.ID, bestScore, best.ID) {
			best, bestScore = s, score
		}
	}
	return best
}

func (b *Baseline) pickMinLoad(uint64) *tables.Server {
	best, ties := b.candidates[0], 1
	for _, s := range b.candidates[1:] {
		switch d := b.compareLoads(s, best); {
		case d < 0:
			best, ties = s, 1
		case d == 0:
			ties++
			if b.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (b *Baseline) pickBetterOfTwo(key uint64) *tables.Server {
	first, second := b.pickRandom(key), b.pickRandom(key)
	if b.compareLoads(second, first) < 0 {
		return second
	}
	return first
}

// compareLoads compares the open flows per unit of weight. The result is
// negative if s is less loaded than other and 0 if both are equally loaded.
func (b *Baseline) compareLoads(s, other *tables.Server) int {
	return b.flows[s.ID]*int(other.Weight) - b.flows[other.ID]*int(s.Weight)
}

// Opened implements Policy.
func (b *Baseline) Opened(id tables.ServerID, _ time.Time) { b.addFlows(id, 1) }

// Closed implements Policy.
func (b *Baseline) Closed(id tables.ServerID, _, _ time.Time) { b.addFlows(id, -1) }

func (b *Baseline) addFlows(id tables.ServerID, delta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows[id] = max(0, b.flows[id]+delta)
}

// SetShare implements Policy. The share scales the connection limits.
func (b *Baseline) SetShare(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = fraction
}

// Paused implements Policy. It does nothing: every open flow counts as load.
func (*Baseline) Paused(tables.ServerID, time.Time) {}

// Resumed implements Policy. It does nothing: every open flow counts as load.
func (*Baseline) Resumed(tables.ServerID, time.Time) {}

// Answered implements Policy. It does nothing: response times are not used.
func (*Baseline) Answered(tables.ServerID, time.Duration, time.Time) {}

// Failed implements Policy. It does nothing: failures are not used.
func (*Baseline) Failed(tables.ServerID, time.Time) {}

// Ejected implements Policy. It always reports false.
func (*Baseline) Ejected(tables.ServerID, time.Time) bool { return false }

// Apply implements Policy. It does nothing: each choice uses the pool of its
// request.
func (*Baseline) Apply(*tables.Snapshot, time.Time) {}
