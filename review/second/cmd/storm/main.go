// Command storm writes configurations in quick succession while callers use a route that the last
// of them drops and one that it adds, and then drains a server.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knapweedshore.example/review/second/lab"
)

// The deployment.
const (
	linkRate     = 10e6 / 8 // of each daemon's machine, in bytes a second
	daemons      = 6
	flowsPerS    = 60 // on each route
	observedTime = 32 * time.Second
)

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	routes := flag.Int("routes", 240+1480, "further routes without traffic")
	changes := flag.Int("changes", 20, "number of configurations")
	gap := flag.Duration("gap", 80*time.Millisecond, "time between two of them")
	fast := flag.Int("fast", 0, "number of daemons, the last ones, with links of 200 Mbit/s")
	flag.Parse()
	code, err := run(*record, *routes, *changes, *gap, *fast, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

// site is the state of one run.
type site struct {
	w                 *lab.World
	old, added, usual netip.AddrPort
	routes, changes   int
	gap               time.Duration

	mu sync.Mutex
	// configAck and drainAck are when the store accepted the last configuration and the drain;
	// zero before.
	configAck, drainAck time.Time
	drained             *lab.Server
	// late counts openings at the drained server later than drain_ms.
	late, early int
}

// config returns a configuration. It has the old route or the added one.
func (s *site) config(version int, last bool) any {
	route := func(name string, a netip.AddrPort, kind string) any {
		return map[string]any{
			"name": name, "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "kind": kind, "timeout_ms": 2000 + version,
			"target_latency_ms": 300, "priority": 2, "service": "dispatch", "max_attempts": 2,
		}
	}
	list := []any{route("r-usual", s.usual, "unsafe")}
	if last {
		list = append(list, route("r-added", s.added, "safe"))
	} else {
		list = append(list, route("r-old", s.old, "safe"))
	}
	for i := range s.routes {
		list = append(list, route(fmt.Sprintf("r-x%06d", i), s.w.Addr(byte(10+i/200), byte(1+i%200), 8443), "safe"))
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": "dispatch", "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false, "cold_start_s": 2.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func run(record string, routes, changes int, gap time.Duration, fast int, trouble bool) (int, error) {
	w, err := lab.NewWorld(lab.Bounds{DrainMS: 5000, ConfigMS: 5000, StableMS: 5000, GraceS: 6, FlowTTLS: 60, IdleMS: 15000, ReorderMS: 2000}, record)
	if err != nil {
		return 2, err
	}
	defer w.Close()
	w.LinkRate = linkRate
	s := &site{w: w, routes: routes, changes: changes, gap: gap, old: w.Addr(9, 1, 8443), added: w.Addr(9, 2, 8443), usual: w.Addr(9, 3, 8443)}
	w.OnOpening = s.opening
	zones := []string{"sound-side", "gorge-side", "peninsula"}
	for i := range 9 {
		server, err := lab.NewServer(w, w.Addr(2, byte(i+1), 8080), uint64(0x7f3a0000+i*7919+1), "dispatch", zones[i%3], 40*time.Millisecond)
		if err != nil {
			return 2, err
		}
		w.Servers = append(w.Servers, server)
		server.Register("ready")
	}
	first := s.config(7, false)
	w.Store.Put("op/config", first)
	if b, err := json.Marshal(first); err == nil {
		w.Logf("the configuration has %d routes and %d bytes", routes+2, len(b))
	}
	seeds := []netip.Addr{w.Addr(1, 1, 0).Addr(), w.Addr(1, 3, 0).Addr(), w.Addr(1, 5, 0).Addr()}
	for i := range daemons {
		if i >= daemons-fast {
			w.LinkRate = 20 * linkRate
		}
		d, err := w.AddDaemon(byte(i+1), zones[i/2], seeds, "evacuate_ms = 5000\n")
		if err != nil {
			return 2, err
		}
		if err := d.Run(); err != nil {
			return 2, err
		}
	}
	w.PollReadiness()
	if err := w.WaitUntilReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(time.Duration(w.Bounds.StableMS) * time.Millisecond) // all daemons are in touch
	return s.play(zones, trouble)
}

// use counts how the flows on a route ended, by whether they were opened before the last
// configuration was due.
type use struct{ served, refused, lateServed, lateRefused atomic.Int64 }

func (s *site) play(zones []string, trouble bool) (int, error) {
	w := s.w
	var counts lab.Counts
	var old, added, usual use
	stop := make(chan struct{})
	var flows sync.WaitGroup
	for i, zone := range zones {
		m, err := lab.NewMachine(w, 3, byte(i+1), zone)
		if err != nil {
			return 2, err
		}
		for _, r := range []struct {
			name    string
			service netip.AddrPort
			use     *use
		}{{"old", s.old, &old}, {"added", s.added, &added}, {"usual", s.usual, &usual}} {
			flows.Add(1)
			go func() {
				defer flows.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() * 3 / flowsPerS * float64(time.Second))):
					}
					flows.Add(1)
					go func() {
						defer flows.Done()
						s.call(m, r.name, r.service, r.use, &counts)
					}()
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)
	s.change(trouble)
	for end := time.Now().Add(observedTime); time.Now().Before(end); time.Sleep(2 * time.Second) {
		s.mu.Lock()
		late := s.late
		s.mu.Unlock()
		w.Logf("dropped route: %d served, %d of them late; added route: %d refused late; openings at the draining server %d late", old.served.Load()+old.lateServed.Load(), old.lateServed.Load(), added.lateRefused.Load(), late)
	}
	close(stop)
	flows.Wait()
	run := 0
	for _, server := range w.Servers {
		run += len(server.Run)
	}
	w.Logf("requests sent %d, answered %d, run %d", counts.Sent.Load(), counts.Answered.Load(), run)
	w.Logf("route that stays: %d served, %d not", usual.served.Load()+usual.lateServed.Load(), usual.refused.Load()+usual.lateRefused.Load())
	w.Logf("CONFIG: %d requests ran with the dropped route and %d were refused on the added one, sent more than %d ms after the ack", old.lateServed.Load(), added.lateRefused.Load(), w.Bounds.ConfigMS)
	w.Logf("DRAIN: %d opening packets reached the draining server later than %d ms after the ack (%d earlier)", s.late, w.Bounds.DrainMS, s.early)
	fmt.Printf("CONFIG: %d ran late with the dropped route, %d refused late on the added one; DRAIN: %d late openings\n", old.lateServed.Load(), added.lateRefused.Load(), s.late)
	for _, d := range w.Daemons {
		if d.Ends > 0 {
			return 2, fmt.Errorf("%s ended by itself", d.Name)
		}
	}
	switch {
	case usual.lateServed.Load() == 0:
		return 2, fmt.Errorf("the site does not serve")
	case old.lateServed.Load() > 0 || added.lateRefused.Load() > 0 || s.late > 0:
		return 1, nil
	}
	return 0, nil
}

// change writes the configurations and drains a server.
func (s *site) change(trouble bool) {
	first := s.changes - 1
	if trouble {
		first = 0
	}
	for n := first; n < s.changes; n++ {
		revision := s.w.Store.Put("op/config", s.config(8+n, n == s.changes-1))
		s.w.Logf("the store accepts configuration %d as revision %d", 8+n, revision)
		if n < s.changes-1 {
			time.Sleep(s.gap)
		}
	}
	s.mu.Lock()
	s.configAck = time.Now()
	s.mu.Unlock()
	s.w.Logf("that drops one route and adds another")
	time.Sleep(s.gap)
	server := s.w.Servers[0]
	server.Register("draining")
	s.mu.Lock()
	s.drained, s.drainAck = server, time.Now()
	s.mu.Unlock()
	s.w.Logf("the store accepts that %s is draining", server.ID)
}

// opening records an opening packet that has reached a server.
func (s *site) opening(server *lab.Server, key lab.FlowKey, p lab.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server != s.drained {
		return
	}
	if time.Since(s.drainAck) > time.Duration(s.w.Bounds.DrainMS)*time.Millisecond {
		s.late++
	} else {
		s.early++
	}
}

// call opens a flow for one request.
func (s *site) call(m *lab.Machine, name string, service netip.AddrPort, u *use, c *lab.Counts) {
	s.mu.Lock()
	late := !s.configAck.IsZero() && time.Since(s.configAck) > time.Duration(s.w.Bounds.ConfigMS)*time.Millisecond
	s.mu.Unlock()
	f := m.NewFlow(service, c)
	defer f.Done()
	body := 0
	if name == "usual" {
		body = 900
	}
	served, id, answer := f.Open(), fmt.Sprintf("%s-%016x", name, rand.Uint64()), "not opened"
	if served {
		answer = f.Request(id, body, 2*time.Second)
		served = strings.HasPrefix(answer, "200 ")
	}
	if served {
		f.Close()
	}
	s.w.Logf("request %s: answer %q (status, server, request); late %v", id, answer, late)
	switch {
	case served && late:
		u.lateServed.Add(1)
	case served:
		u.served.Add(1)
	case late:
		u.lateRefused.Add(1)
	default:
		u.refused.Add(1)
	}
}
