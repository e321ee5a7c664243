package entrysite

import "math/rand/v2"

// draw is a caller's own source of luck, so that the callers do not depend on
// each other's timing.
type draw struct{ random *rand.Rand }

func newDraw(seed uint64) draw { return draw{rand.New(rand.NewPCG(seed, 2))} }

func (d draw) below(n int) int { return d.random.IntN(n) }
