// Case2 silences the open connections to the store while the operator writes large
// configurations in quick succession.
package main

import (
	"fmt"
	"sync"
	"time"

	"review.example/cases/standin"
)

const (
	// idleRoutes is the number of routes without traffic in each configuration.
	idleRoutes = 3500
	// stormTime and stormGap are those of config_storm on a standard day.
	stormTime = 2 * time.Second
	stormGap  = 80 * time.Millisecond
	// silenceAfter is the number of versions after which the connections go silent.
	silenceAfter = 5
	// probeTime is how long the dropped route is probed, and probeGap the time between
	// two probes.
	probeTime = 25 * time.Second
	probeGap  = 250 * time.Millisecond
	daemons   = 3
	consumers = 6
)

// Routes of the day. The last version of the storm drops route dropped.
const (
	kept, dropped = 1, 2
)

func main() { standin.Main(run) }

func run(s *standin.Site) (int, error) {
	idle := idleRouteList(s)
	version := 7
	configure := func(withDropped bool) {
		routes := []map[string]any{s.Route(kept, "desk", "safe")}
		if withDropped {
			routes = append(routes, s.Route(dropped, "desk", "safe"))
		}
		s.Configure(version, []string{"desk"}, append(routes, idle...)...)
		version += 2
	}
	configure(true)
	for i := range byte(4) {
		if _, err := s.AddServer(10, 1+i, 0x7f3a9100+uint64(i), "desk", "a"); err != nil {
			return 0, err
		}
	}
	proxy, store, err := s.AddProxy(1)
	if err != nil {
		return 0, err
	}
	for i := range byte(daemons) {
		if _, err := s.AddDaemon(1+i, "a", s.Seeds(1, 2), store); err != nil {
			return 0, err
		}
	}
	var callers []*standin.Consumer
	for i := range byte(consumers) {
		c, err := s.AddConsumer(1 + i)
		if err != nil {
			return 0, err
		}
		callers = append(callers, c)
	}
	if err := s.AwaitReady(daemons); err != nil {
		return 0, err
	}
	for _, c := range callers {
		for _, route := range []byte{kept, dropped} {
			if _, err := fetch(s, c, route); err != nil {
				return 0, fmt.Errorf("before the disruption: route %d: %w", route, err)
			}
		}
	}

	var silencedAt time.Time
	ticker := time.NewTicker(stormGap)
	defer ticker.Stop()
	for n := range int(stormTime / stormGap) {
		if n == silenceAfter {
			silencedAt = time.Now()
			if s.Trouble {
				proxy.Silence()
				s.Record.Add("open connections to the store go SILENT, new ones work")
			}
		}
		configure(true)
		<-ticker.C
	}
	configure(false)
	ackedAt := time.Now()
	s.Record.Add("operator: route %d is dropped", dropped)

	// From then on all machines are in touch and the last version has to be in force.
	due := ackedAt.Add(standin.ConfigTime)
	if inTouch := silencedAt.Add(standin.StableTime); inTouch.After(due) {
		due = inTouch
	}
	time.Sleep(time.Until(due) + 100*time.Millisecond)
	return probe(s, callers, ackedAt), nil
}

// idleRouteList returns routes without traffic.
func idleRouteList(s *standin.Site) []map[string]any {
	var out []map[string]any
	for i := range idleRoutes {
		r := s.Route(1, "desk", "safe")
		r["name"], r["host"] = fmt.Sprintf("r-idle%04d", i), s.Addr(byte(210+i/250), byte(1+i%250), 0).Addr().String()
		out = append(out, r)
	}
	return out
}

// fetch opens a flow and sends one request.
func fetch(s *standin.Site, c *standin.Consumer, route byte) (string, error) {
	f, err := c.Open(s.Service(route))
	if err != nil {
		return "", err
	}
	defer f.Close()
	return f.Request(fmt.Sprintf("sheet on route %d, flow %s", route, f.Addr))
}

// probe sends requests on the dropped and the kept route and returns how many of the
// former were run.
func probe(s *standin.Site, callers []*standin.Consumer, ackedAt time.Time) int {
	var mu sync.Mutex
	run, sent, served := 0, 0, 0
	var last time.Duration
	var all sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < probeTime; time.Sleep(probeGap) {
		for _, c := range callers {
			all.Go(func() {
				sentAt := time.Since(ackedAt)
				answer, err := fetch(s, c, dropped)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if err == nil {
					run++
					last = max(last, sentAt)
					s.Record.Add("request on the DROPPED route, sent %.3f s after the ack, was run: %q", sentAt.Seconds(), answer)
				}
			})
		}
		all.Go(func() {
			_, err := fetch(s, callers[0], kept)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				served++
			}
		})
	}
	all.Wait()
	s.Record.Add("requests on the dropped route: %d, run: %d, the last one sent %.3f s after the ack; served on the kept route: %d", sent, run, last.Seconds(), served)
	return run
}
