package selection

import (
	"math/rand/v2"
	"sync"
	"time"

	"knapweedshore.example/internal/tables"
)

// Baseline is a well-known policy that the Chooser is measured against. All of
// them use the operator's weights, the table states and the connection limits;
// none learns speeds, ejects servers or starts them slowly.
type Baseline struct {
	pick picker

	mu         sync.Mutex
	random     *rand.Rand
	share      float64
	flows      map[tables.ServerID]int
	turns      map[tables.ServerID]int64
	candidates []*tables.Server
}

var _ Policy = (*Baseline)(nil)

// picker chooses one of at least one candidates under the Baseline's lock.
type picker func(b *Baseline, key uint64) *tables.Server

// NewRandom returns the policy that draws a server at random.
func NewRandom(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).drawOne) }

// NewRoundRobin returns the policy that uses the servers in turn, smoothly
// weighted. Owners start at different positions, given by the seed.
func NewRoundRobin(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).nextInTurn) }

// NewRendezvous returns plain weighted rendezvous hashing.
func NewRendezvous() *Baseline { return newBaseline(0, (*Baseline).highestScore) }

// NewLeastConnections returns the policy that uses the server with the fewest
// open flows for its weight. Ties are broken at random.
func NewLeastConnections(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).leastFlows) }

// NewTwoChoices returns the policy that draws two servers at random and uses
// the one with fewer open flows for its weight.
func NewTwoChoices(seed uint64) *Baseline { return newBaseline(seed, (*Baseline).betterOfTwo) }

func newBaseline(seed uint64, p picker) *Baseline {
	return &Baseline{
		pick:   p,
		random: rand.New(rand.NewPCG(seed, 0)),
		share:  1,
		flows:  map[tables.ServerID]int{},
		turns:  map[tables.ServerID]int64{},
	}
}

// Choose implements Policy.
func (b *Baseline) Choose(r Request) (Choice, error) {
	fallback, ok := Default(r.Key, r.Pool)
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
	return Choice{Server: s, Default: s == fallback}, nil
}

// findCandidates lists the usable servers; limited reports a server that was
// left out because of its limit.
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

func (b *Baseline) drawOne(uint64) *tables.Server {
	total := 0
	for _, s := range b.candidates {
		total += int(s.Weight)
	}
	at := b.random.IntN(max(1, total))
	for _, s := range b.candidates {
		if at -= int(s.Weight); at < 0 {
			return s
		}
	}
	return b.candidates[0]
}

// nextInTurn raises the turn of every server by its weight, takes the highest
// and lowers that one by the sum, which interleaves servers of unequal weight.
func (b *Baseline) nextInTurn(uint64) *tables.Server {
	var total int64
	var best *tables.Server
	for _, s := range b.candidates {
		if _, ok := b.turns[s.ID]; !ok {
			b.turns[s.ID] = b.random.Int64N(int64(s.Weight) + 1)
		}
		b.turns[s.ID] += int64(s.Weight)
		total += int64(s.Weight)
		if best == nil || b.turns[s.ID] > b.turns[best.ID] {
			best = s
		}
	}
	b.turns[best.ID] -= total
	return best
}

func (b *Baseline) highestScore(key uint64) *tables.Server {
	var best *tables.Server
	bestScore := 0.0
	for _, s := range b.candidates {
		score := float64(s.Weight) * draw(key, s.ID)
		if best == nil || precedes(score, s.ID, bestScore, best.ID) {
			best, bestScore = s, score
		}
	}
	return best
}

func (b *Baseline) leastFlows(uint64) *tables.Server {
	best, ties := b.candidates[0], 1
	for _, s := range b.candidates[1:] {
		switch d := b.compare(s, best); {
		case d < 0:
			best, ties = s, 1
		case d == 0:
			ties++
			if b.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (b *Baseline) betterOfTwo(key uint64) *tables.Server {
	first, second := b.drawOne(key), b.drawOne(key)
	if b.compare(second, first) < 0 {
		return second
	}
	return first
}

// compare returns the difference in open flows for each unit of weight.
func (b *Baseline) compare(s, other *tables.Server) int {
	return b.flows[s.ID]*int(other.Weight) - b.flows[other.ID]*int(s.Weight)
}

// Opened implements Policy.
func (b *Baseline) Opened(id tables.ServerID, _ time.Time) { b.change(id, 1) }

// Closed implements Policy.
func (b *Baseline) Closed(id tables.ServerID, _, _ time.Time) { b.change(id, -1) }

func (b *Baseline) change(id tables.ServerID, by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows[id] = max(0, b.flows[id]+by)
}

// SetShare implements Policy.
func (b *Baseline) SetShare(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = fraction
}

// Paused implements Policy; every open flow counts.
func (*Baseline) Paused(tables.ServerID, time.Time) {}

// Resumed implements Policy; every open flow counts.
func (*Baseline) Resumed(tables.ServerID, time.Time) {}

// Answered implements Policy; response times are not used.
func (*Baseline) Answered(tables.ServerID, time.Duration, time.Time) {}

// Failed implements Policy; failures are not used.
func (*Baseline) Failed(tables.ServerID, time.Time) {}

// Ejected implements Policy; it always reports false.
func (*Baseline) Ejected(tables.ServerID, time.Time) bool { return false }

// Apply implements Policy; each choice uses the pool of its request.
func (*Baseline) Apply(*tables.Snapshot, time.Time) {}
