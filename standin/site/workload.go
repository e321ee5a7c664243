package site

import (
	"context"

	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/caller"
)

// maxOpenFlows limits the concurrently open flows of a service. Flows beyond it are
// not opened and counted as skipped.
const maxOpenFlows = 2000

// flowResult is the result of a flow and the name of its service.
type flowResult struct {
	service string
	caller.Result
}

// openFlows opens flows for the duration of the run. It does not wait for them to
// end.
func (r *run) openFlows(ctx context.Context, flows *conc.WaitGroup) {
	var generators conc.WaitGroup
	for i, s := range r.config.Site.Services {
		generators.Go(func() { r.generateFlows(ctx, newPlanner(r.config.Seed, i, s), flows) })
	}
	generators.Wait()
}

// generateFlows opens the flows of one service.
func (r *run) generateFlows(ctx context.Context, p *planner, flows *conc.WaitGroup) {
	open := make(chan struct{}, maxOpenFlows)
	end := r.started.Add(r.config.Duration)
	for at := r.started.Add(p.nextInterval()); at.Before(end); at = at.Add(p.nextInterval()) {
		if !sleepUntil(ctx, at) {
			return
		}
		runFlow := r.prepareFlow(p)
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
			r.addResult(p.service.Name, runFlow(ctx))
		})
	}
}

// prepareFlow plans the next flow and returns a function that runs it.
func (r *run) prepareFlow(p *planner) func(ctx context.Context) caller.Result {
	f, from := p.nextFlow(), r.env.callers[p.rng.IntN(len(r.env.callers))]
	if p.service.Protocol == tables.UDP {
		c := &caller.HTTP{Host: from, Service: p.service.Address, TLS: r.env.identity.Client, Pause: f.pause}
		return func(ctx context.Context) caller.Result { return c.Run(ctx, f.requests...) }
	}
	c := &caller.TCP{Host: from, Service: p.service.Address}
	script := p.tcpScript(f)
	return func(ctx context.Context) caller.Result { return c.Run(ctx, script) }
}

func (r *run) addResult(service string, result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, flowResult{service: service, Result: result})
}
