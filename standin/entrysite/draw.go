package entrysite

import "math/rand/v2"

// randomSource is the random number generator of one caller. Each caller has its own, so
// that its choices do not depend on the timing of the others.
type randomSource struct{ random *rand.Rand }

func newRandomSource(seed uint64) randomSource { return randomSource{rand.New(rand.NewPCG(seed, 2))} }

// intN returns a random number from 0 to n-1.
func (r randomSource) intN(n int) int { return r.random.IntN(n) }
