// Package metrics publishes the daemon's counters with expvar. There is one
// counter for each reason for refusing a packet or retrying a call.
package metrics

import (
	"expvar"
	"sort"
	"sync/atomic"
	"time"
)

// Reason is the name of a counter or a histogram. Refusals and retries are counted
// by their reason.
type Reason string

// Registry holds the counters of one daemon. Several daemons can run in one
// process, each with its own Registry.
type Registry struct {
	refusals *Counters
	retries  *Counters
	totals   *Counters
	latency  map[Reason]*Histogram
}

// NewRegistry returns a Registry with all declared counters and histograms.
func NewRegistry() *Registry {
	r := &Registry{
		refusals: newCounters(refusalReasons),
		retries:  newCounters(retryReasons),
		totals:   newCounters(totalNames),
		latency:  map[Reason]*Histogram{},
	}
	for _, name := range latencyNames {
		r.latency[name] = newHistogram()
	}
	return r
}

// Observe adds one duration to a histogram.
func (r *Registry) Observe(name Reason, d time.Duration) { r.latency[name].Observe(d) }

// Refused counts one refused packet or request.
func (r *Registry) Refused(reason Reason) { r.refusals.Add(reason, 1) }

// Retried counts one retried call.
func (r *Registry) Retried(reason Reason) { r.retries.Add(reason, 1) }

// Count adds n to a total.
func (r *Registry) Count(name Reason, n int64) { r.totals.Add(name, n) }

// Refusals returns the refusal counters.
func (r *Registry) Refusals() *Counters { return r.refusals }

// Retries returns the retry counters.
func (r *Registry) Retries() *Counters { return r.retries }

// Totals returns the counters that are neither refusals nor retries.
func (r *Registry) Totals() *Counters { return r.totals }

// Map returns the registry as an expvar map for the daemon's metrics endpoint.
func (r *Registry) Map() *expvar.Map {
	m := new(expvar.Map)
	m.Set("refusals", expvar.Func(r.refusals.values))
	m.Set("retries", expvar.Func(r.retries.values))
	m.Set("totals", expvar.Func(r.totals.values))
	m.Set("latency", expvar.Func(r.latencies))
	return m
}

func (r *Registry) latencies() any {
	out := make(map[string]any, len(r.latency))
	for name, h := range r.latency {
		out[string(name)] = h.value()
	}
	return out
}

// Counters is a fixed set of named counters, safe for concurrent use.
type Counters struct {
	byName map[Reason]*atomic.Int64
}

func newCounters(names []Reason) *Counters {
	c := &Counters{byName: make(map[Reason]*atomic.Int64, len(names))}
	for _, n := range names {
		c.byName[n] = new(atomic.Int64)
	}
	return c
}

// Add adds n to a counter. It panics on a name that the package does not
// declare, because the missing counter would otherwise go unnoticed.
func (c *Counters) Add(name Reason, n int64) { c.Counter(name).Add(n) }

// Counter returns one counter, so that code which counts every packet looks it up
// only once. It panics on a name that the package does not declare.
func (c *Counters) Counter(name Reason) *atomic.Int64 {
	v, ok := c.byName[name]
	if !ok {
		panic("metrics: undeclared counter " + string(name))
	}
	return v
}

// Value returns the value of a counter, or 0 for an unknown name.
func (c *Counters) Value(name Reason) int64 {
	if v, ok := c.byName[name]; ok {
		return v.Load()
	}
	return 0
}

// Names returns the names of all counters in alphabetical order.
func (c *Counters) Names() []Reason {
	names := make([]Reason, 0, len(c.byName))
	for n := range c.byName {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Sum returns the sum of all counters.
func (c *Counters) Sum() int64 {
	var sum int64
	for _, v := range c.byName {
		sum += v.Load()
	}
	return sum
}

func (c *Counters) values() any {
	out := make(map[string]int64, len(c.byName))
	for n, v := range c.byName {
		out[string(n)] = v.Load()
	}
	return out
}
