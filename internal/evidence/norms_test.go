package evidence

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// errorLength is the length of an answer without a body.
const errorLength = 150

// shortShare returns the share of answers that are taken for errors, after the norm has
// been learned.
func shortShare(n *AnswerNorms, length func() int) float64 {
	const learned, counted = 2000, 4000
	short := 0
	for i := range learned + counted {
		l := length()
		if i >= learned && l < n.ShortLength("r") {
			short++
		}
		n.Learn("r", l)
	}
	return float64(short) / counted
}

// Guards against taking short answers of a route for errors if its answers vary by nature:
// spread over two orders of magnitude, or of two kinds, one of them as short as an error.
// Errors among answers of one length must be told.
func TestShortAnswersAreToldByTheRoutesNorm(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	spread := func() int { return int(500 * math.Pow(100, random.Float64())) }
	twoKinds := func() int {
		if random.Float64() < 0.4 {
			return errorLength
		}
		return 5000
	}
	withErrors := func(normal func() int, share float64) func() int {
		return func() int {
			if random.Float64() < share {
				return errorLength
			}
			return normal()
		}
	}
	for name, c := range map[string]struct {
		length   func() int
		min, max float64
	}{
		"one length":                  {func() int { return 780 }, 0, 0},
		"one length and errors":       {withErrors(func() int { return 780 }, 0.1), 0.07, 0.13},
		"two orders of magnitude":     {spread, 0, 0.2},
		"two kinds":                   {twoKinds, 0, 0},
		"spread answers and errors":   {withErrors(spread, 0.1), 0.07, 0.35},
		"downloads and short refusal": {withErrors(func() int { return 20_000 }, 0.1), 0.07, 0.13},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			share := shortShare(NewAnswerNorms(), c.length)
			t.Logf("%.3f of the answers are short", share)
			is.True(share >= c.min && share <= c.max)
		})
	}
}

// Guards against a norm that follows the errors of a server which gets most of the requests,
// and against one that does not follow answers that have become shorter for good.
func TestNormFollowsNoErrors(t *testing.T) {
	is := is.New(t)
	n := NewAnswerNorms()
	for range 1000 {
		n.Learn("r", 1000)
	}
	for range 100 {
		n.Learn("r", errorLength)
	}
	is.True(n.ShortLength("r") > errorLength)
	for range 2000 {
		n.Learn("r", errorLength)
	}
	is.True(n.ShortLength("r") < errorLength)
}
