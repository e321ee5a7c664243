package metrics

import (
	"sync/atomic"
	"time"
)

// histogramBounds are the inclusive upper bounds of the buckets, except for the
// last bucket, which has none.
var histogramBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Histogram counts durations in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	buckets []atomic.Int64
	sum     atomic.Int64 // microseconds
}

func newHistogram() *Histogram {
	return &Histogram{buckets: make([]atomic.Int64, len(histogramBounds)+1)}
}

// Observe adds one duration.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < len(histogramBounds) && d > histogramBounds[i] {
		i++
	}
	h.buckets[i].Add(1)
	h.sum.Add(d.Microseconds())
}

// histogramJSON is the expvar form of a Histogram. Buckets maps the upper bound of
// each bucket to its count; counts are not cumulative.
type histogramJSON struct {
	Count     int64            `json:"count"`
	SumMicros int64            `json:"sum_us"`
	Buckets   map[string]int64 `json:"buckets"`
}

func (h *Histogram) value() any {
	out := histogramJSON{SumMicros: h.sum.Load(), Buckets: make(map[string]int64, len(h.buckets))}
	for i := range h.buckets {
		bound := "inf"
		if i < len(histogramBounds) {
			bound = histogramBounds[i].String()
		}
		n := h.buckets[i].Load()
		out.Count += n
		out.Buckets[bound] = n
	}
	return out
}
