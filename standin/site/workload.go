package site

import (
	"context"

	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/caller"
)

// maxOpenFlows bounds the flows of a service that callers have open at once;
// more are skipped and counted.
const maxOpenFlows = 2000

// flowResult is the end of a flow of one service.
type flowResult struct {
	service string
	caller.Result
}

// openFlows opens flows for the duration of the run. The flows go on.
func (r *run) openFlows(ctx context.Context, flows *conc.WaitGroup) {
	var generators conc.WaitGroup
	for i, s := range r.config.Site.Services {
		generators.Go(func() { r.generate(ctx, newPlanner(r.config.Seed, i, s), flows) })
	}
	generators.Wait()
}

func (r *run) generate(ctx context.Context, p *planner, flows *conc.WaitGroup) {
	open := make(chan struct{}, maxOpenFlows)
	end := r.started.Add(r.config.Duration)
	for at := r.started.Add(p.wait()); at.Before(end); at = at.Add(p.wait()) {
		if !sleepUntil(ctx, at) {
			return
		}
		do := r.prepare(p)
		select {
		case open <- struct{}{}:
		default:
			r.mu.Lock()
			r.skipped++
			r.mu.Unlock()
			continue
		}
		flows.Go(func() {
			defer func() { <-open }()
			r.record(p.service.Name, do(ctx))
		})
	}
}

// prepare draws the next flow and returns the function that runs it.
func (r *run) prepare(p *planner) func(ctx context.Context) caller.Result {
	f, from := p.flow(), r.environment.callers[p.rng.IntN(len(r.environment.callers))]
	if p.service.Protocol == tables.UDP {
		c := &caller.HTTP{Host: from, Service: p.service.Address, TLS: r.environment.identity.Client, Pause: f.pause}
		return func(ctx context.Context) caller.Result { return c.Run(ctx, f.requests...) }
	}
	c := &caller.TCP{Host: from, Service: p.service.Address}
	script := p.script(f)
	return func(ctx context.Context) caller.Result { return c.Run(ctx, script) }
}

func (r *run) record(service string, result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, flowResult{service: service, Result: result})
}
