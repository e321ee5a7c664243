// Command flows plays a rolling restart of the entry daemons while callers hold flows for
// several requests, on a network that loses a datagram now and then.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"knapweedshore.example/review/second/lab"
)

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	loss := flag.Float64("loss", 0.004, "share of the datagrams that get lost")
	rate := flag.Float64("rate", 2000, "new flows a second")
	length := flag.Duration("length", 70*time.Second, "length of the traffic")
	flag.Parse()
	code, err := run(*record, *loss, *rate, *length, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

func run(record string, loss, rate float64, length time.Duration, trouble bool) (int, error) {
	w, err := lab.NewWorld(lab.Bounds{DrainMS: 5000, ConfigMS: 5000, StableMS: 5000, GraceS: 6, FlowTTLS: 60, IdleMS: 15000, ReorderMS: 2000}, record)
	if err != nil {
		return 2, err
	}
	defer w.Close()
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	service := w.Addr(9, 1, 8443)
	for i := range 120 {
		s, err := lab.NewServer(w, w.Addr(2, byte(i+1), 8080), uint64(0x7f3a0000+i*7919+1), "desk", zones[i%3], 44*time.Millisecond)
		if err != nil {
			return 2, err
		}
		w.Servers = append(w.Servers, s)
		s.Register("ready")
	}
	w.Store.Put("op/config", map[string]any{
		"version": 7, "services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 3206, "protocol": "h1", "tls": false, "cold_start_s": 2.0, "cold_per_s": 0.0}},
		"routes": []any{map[string]any{"name": "r-desk", "host": service.Addr().String(), "prefix": "/8443/", "kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "service": "desk", "max_attempts": 2}},
		"limits": map[string]any{"idle_timeout_ms": 15000},
	})
	var seeds []netip.Addr
	for _, i := range []byte{1, 4, 7} {
		seeds = append(seeds, w.Addr(1, i, 0).Addr())
	}
	for i := range 9 {
		d, err := w.AddDaemon(byte(i+1), zones[i/3], seeds, "")
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
	time.Sleep(time.Second)
	var machines []*lab.Machine
	for i := range 24 {
		m, err := lab.NewMachine(w, 3, byte(i+1), zones[i%3])
		if err != nil {
			return 2, err
		}
		machines = append(machines, m)
	}
	w.SetLoss(loss)
	var counts lab.Counts
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if trouble {
			roll(w, stop)
		}
	}()
	var flows sync.WaitGroup
	w.Logf("traffic begins: %.0f new flows a second, loss %.4f", rate, loss)
	began := time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	next := began.Add(5 * time.Second)
	for opened := 0.0; time.Since(began) < length; <-tick.C {
		for ; opened < rate*time.Since(began).Seconds(); opened++ {
			m := machines[rand.IntN(len(machines))]
			flows.Add(1)
			go func() {
				defer flows.Done()
				play(m, service, &counts)
			}()
		}
		if time.Now().After(next) {
			next = next.Add(5 * time.Second)
			log(w, &counts)
		}
	}
	close(stop)
	flows.Wait()
	<-done
	log(w, &counts)
	return judge(w, &counts)
}

func log(w *lab.World, c *lab.Counts) {
	w.Logf("flows %d, opened %d, not opened %d, accepted by two servers %d; requests sent %d, answered %d, timeouts %d; resets seen %d",
		c.Flows.Load(), c.Opened.Load(), c.NotOpened.Load(), c.Contested.Load(), c.Sent.Load(), c.Answered.Load(), c.Timeouts.Load(), c.Resets.Load())
}

// play is one caller: a flow with two requests and a pause between them.
func play(m *lab.Machine, service netip.AddrPort, c *lab.Counts) {
	f := m.NewFlow(service, c)
	defer f.Done()
	if !f.Open() {
		return
	}
	sent, answer := 0, ""
	defer func() { m.Logf("flow %s: requests sent %d, last answer %q", f, sent, answer) }()
	for i := range 2 {
		if i > 0 && !f.Idle(time.Duration(1000+rand.IntN(3000))*time.Millisecond) {
			return
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		sent++
		if answer = f.Request(id, 900, 5*time.Second); answer == "" {
			return
		}
	}
	f.Close()
}

// rollGap is the time between two stops.
const rollGap = 1200 * time.Millisecond

// roll stops and starts the daemons in turn, one every rollGap and each zone in turn, until stop
// is closed.
func roll(w *lab.World, stop chan struct{}) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for n := 0; ; n++ {
		d := w.Daemons[(n%3)*3+n/3%3]
		select {
		case <-stop:
			return
		case <-time.After(rollGap):
		}
		stops.Add(1)
		go func() {
			defer stops.Done()
			w.Logf("SIGTERM to %s", d.Name)
			took := d.Stop()
			time.Sleep(300 * time.Millisecond)
			if err := d.Run(); err != nil {
				w.Logf("%s does not start: %v", d.Name, err)
				return
			}
			w.Logf("%s ended after %.2f s and was started again", d.Name, took.Seconds())
		}()
	}
}

func judge(w *lab.World, c *lab.Counts) (int, error) {
	run, twice := 0, 0
	for _, s := range w.Servers {
		for _, n := range s.Run {
			run++
			if n > 1 {
				twice++
			}
		}
		if s.Forged > 0 {
			w.Violations = append(w.Violations, fmt.Sprintf("UNASKED: %s got %d packets that no caller wrote so", s.ID, s.Forged))
		}
	}
	w.Logf("requests run %d, more than once on one server %d", run, twice)
	if n := c.Wrong.Load(); n > 0 {
		w.Violations = append(w.Violations, fmt.Sprintf("MIXED: %d wrong answers", n))
	}
	if c.Answered.Load() < c.Sent.Load()/2 {
		return 2, fmt.Errorf("the site does not serve: %d of %d requests answered", c.Answered.Load(), c.Sent.Load())
	}
	for _, d := range w.Daemons {
		if d.Ends > 0 {
			w.Violations = append(w.Violations, fmt.Sprintf("%s ended by itself", d.Name))
		}
	}
	w.Logf("rules broken: %d", len(w.Violations))
	fmt.Printf("flows %d, answered %d of %d, accepted by two %d, resets %d, rules broken %d\n", c.Flows.Load(), c.Answered.Load(), c.Sent.Load(), c.Contested.Load(), c.Resets.Load(), len(w.Violations))
	for _, v := range w.Violations[:min(5, len(w.Violations))] {
		fmt.Println(v)
	}
	if len(w.Violations) > 0 {
		return 1, nil
	}
	return 0, nil
}
