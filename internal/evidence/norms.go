package evidence

import (
	"math"
	"sync"

	"knapweedshore.example/internal/directory"
)

const (
	// shortRatio is the length of an answer, as a part of the route's median, below which
	// it is taken for an error. Answers to requests that vary by nature are shorter at
	// times, on all servers alike.
	shortRatio = 0.3
	// maxErrorLength is the length from which on no answer is taken for an error, however
	// long the route's answers are. The first acknowledgement of a longer answer shows it.
	maxErrorLength = 1000
	// minNormAnswers is the number of answers before a route's norm is used.
	minNormAnswers = 8
	// medianGain is the weight of one answer in the logarithm of the median, once the
	// first ones have been seen.
	medianGain = 0.03
	// shortShareGain is the weight of one answer in the share of short ones.
	shortShareGain = 0.002
	// maxShortShare is the share of short answers above which they are ordinary for the
	// route and tell nothing.
	maxShortShare = 0.3
)

// AnswerNorms learns how long the answers of each route are. It is safe for concurrent
// use.
type AnswerNorms struct {
	mu     sync.Mutex
	routes map[string]*norm
}

// norm is the norm of one route.
type norm struct {
	answers int
	// median estimates the logarithm of the median length.
	median     float64
	shortShare float64
}

// NewAnswerNorms returns norms of which nothing is known yet.
func NewAnswerNorms() *AnswerNorms { return &AnswerNorms{routes: map[string]*norm{}} }

// Learn adds the length of a complete answer.
func (n *AnswerNorms) Learn(route string, length int) {
	if length <= 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.routes[route]
	if r == nil {
		r = &norm{median: math.Log(float64(length))}
		n.routes[route] = r
	}
	short := 0.0
	if length < r.shortLength() {
		short = 1
	}
	r.answers++
	r.shortShare += max(shortShareGain, 1/float64(r.answers+minNormAnswers)) * (short - r.shortShare)
	if short > 0 && r.answers > minNormAnswers && r.shortShare <= maxShortShare {
		return // errors do not become the norm
	}
	step := max(medianGain, 1/float64(r.answers))
	r.median += max(-step, min(step, math.Log(float64(length))-r.median))
}

// ShortLength returns the length below which an answer of a route is taken for an error;
// zero if that cannot be told.
func (n *AnswerNorms) ShortLength(route string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.routes[route]
	if r == nil || r.answers < minNormAnswers || r.shortShare > maxShortShare {
		return 0
	}
	return r.shortLength()
}

func (r *norm) shortLength() int { return int(min(maxErrorLength, shortRatio*math.Exp(r.median))) }

// Prune drops the norms of routes that are no longer configured.
func (n *AnswerNorms) Prune(d *directory.Directory) {
	if d.Config == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	routes := make(map[string]*norm, len(n.routes))
	for i := range d.Config.Routes {
		if r := n.routes[d.Config.Routes[i].Name]; r != nil {
			routes[d.Config.Routes[i].Name] = r
		}
	}
	n.routes = routes
}
