// Case4 lets the store turn the machines of two zones away while one of them is frozen, and
// wakes it before the machines of the other zones watch the store themselves.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review.example/cases/standin"
)

// Routes of the day. The last version drops route dropped.
const (
	kept, dropped = 1, 2
)

// zones are the zones of the machines. The store turns the first three machines away; one
// of them freezes.
var zones = []string{"a", "a", "b", "c", "c", "c", "d", "d", "d"}

const (
	refused = 3
	frozen  = 1
	// freezeTime is how long a machine is frozen. The store begins to turn
	// machines away refusedAfter later, for refusedTime.
	freezeTime   = 3900 * time.Millisecond
	refusedAfter = 2100 * time.Millisecond
	refusedTime  = 8900 * time.Millisecond
	// spreadTime is how long a change needs to reach all machines.
	spreadTime = 150 * time.Millisecond
	// probeTime is how long the dropped route is probed after its bound.
	probeTime  = 4 * time.Second
	probeGap   = 100 * time.Millisecond
	consumers  = 10
	requestGap = 40 * time.Millisecond
)

func main() { standin.Main(run) }

func run(s *standin.Site) (int, error) {
	both := []map[string]any{s.Route(kept, "desk", "safe"), s.Route(dropped, "desk", "safe")}
	s.Configure(7, []string{"desk"}, both...)
	for i := range byte(6) {
		if _, err := s.AddServer(10, 1+i, 0x7f3a9100+uint64(i), "desk", "c"); err != nil {
			return 0, err
		}
	}
	machines, proxies, err := startMachines(s)
	if err != nil {
		return 0, err
	}
	if err := s.AwaitReady(len(zones)); err != nil {
		return 0, err
	}
	stopTraffic, err := startTraffic(s)
	if err != nil {
		return 0, err
	}
	defer stopTraffic()
	time.Sleep(3 * time.Second)

	// CASE4_ONLY plays one of the two disruptions alone.
	freeze, refuse := s.Trouble && os.Getenv("CASE4_ONLY") != "refuse", s.Trouble && os.Getenv("CASE4_ONLY") != "freeze"
	s.Configure(9, []string{"desk"}, both...)
	time.Sleep(spreadTime)
	begin := time.Now()
	if freeze {
		machines[frozen].Signal(syscall.SIGSTOP)
	}
	time.Sleep(refusedAfter - spreadTime)
	s.Configure(11, []string{"desk"}, both...)
	time.Sleep(spreadTime)
	if refuse {
		for _, p := range proxies[:refused] {
			p.Refuse(true)
		}
		time.AfterFunc(refusedTime, func() {
			for _, p := range proxies[:refused] {
				p.Refuse(false)
			}
		})
		s.Record.Add("the store TURNS AWAY %s, %s and %s", machines[0].Name, machines[1].Name, machines[2].Name)
	}
	time.Sleep(spreadTime)
	s.Configure(13, []string{"desk"}, both[0])
	ackedAt := time.Now()
	s.Record.Add("operator: route %d is dropped", dropped)
	time.Sleep(time.Until(begin.Add(freezeTime)))
	if freeze {
		machines[frozen].Signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(ackedAt.Add(standin.ConfigTime + 50*time.Millisecond)))
	return probe(s, machines[refused:], ackedAt)
}

// startMachines starts the machines, each with a proxy of its own before the store.
func startMachines(s *standin.Site) (machines []*standin.Daemon, proxies []*standin.Proxy, err error) {
	for i, zone := range zones {
		proxy, store, err := s.AddProxy(byte(1 + i))
		if err != nil {
			return nil, nil, err
		}
		d, err := s.AddDaemon(byte(1+i), zone, s.Seeds(1, 2, 3), store)
		if err != nil {
			return nil, nil, err
		}
		machines, proxies = append(machines, d), append(proxies, proxy)
	}
	return machines, proxies, nil
}

// startTraffic sends requests on the kept route until the returned function is called.
func startTraffic(s *standin.Site) (stop func(), err error) {
	var stopped atomic.Bool
	var all sync.WaitGroup
	var served, failed atomic.Int64
	for i := range byte(consumers) {
		c, err := s.AddConsumer(1 + i)
		if err != nil {
			return nil, err
		}
		all.Go(func() {
			for !stopped.Load() {
				if _, err := fetch(s, c, kept); err != nil {
					failed.Add(1)
				} else {
					served.Add(1)
				}
				time.Sleep(requestGap)
			}
		})
	}
	return func() {
		stopped.Store(true)
		all.Wait()
		s.Record.Add("requests on the kept route: served %d, failed %d", served.Load(), failed.Load())
	}, nil
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

// probe sends requests on the dropped route to machines in touch and returns how many of
// them were run.
func probe(s *standin.Site, machines []*standin.Daemon, ackedAt time.Time) (int, error) {
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, run := 0, 0
	var last time.Duration
	for i, d := range machines {
		c, err := s.AddDirectConsumer(byte(1+i), d)
		if err != nil {
			return 0, err
		}
		all.Go(func() {
			for begin := time.Now(); time.Since(begin) < probeTime; time.Sleep(probeGap) {
				sentAt := time.Since(ackedAt)
				answer, err := fetch(s, c, dropped)
				mu.Lock()
				sent++
				if err == nil && strings.Contains(answer, "sheet on route 2") {
					run++
					last = max(last, sentAt)
					s.Record.Add("request on the DROPPED route, sent %.3f s after the ack through %s, was run: %q", sentAt.Seconds(), d.Name, answer)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	s.Record.Add("requests on the dropped route through machines in touch: %d, run: %d, the last one sent %.3f s after the ack", sent, run, last.Seconds())
	return run, nil
}
