// Case3 restarts the daemons in turn while consumers keep flows open, a few of which have
// lost their first SYN+ACK.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review.example/cases/standin"
)

const (
	flows = 60
	// lossEvery is one of how many flows loses the first SYN+ACK.
	lossEvery = 15
	// pause is the time between two requests of a flow.
	pause    = 2500 * time.Millisecond
	requests = 5
	daemons  = 3
	// rollDelay is how long after the first flow the restarts begin, rollGap the shortest
	// time between two, and startDelay the platform's delay before a new process starts.
	rollDelay  = 3 * time.Second
	rollGap    = 2 * time.Second
	startDelay = 300 * time.Millisecond
)

func main() { standin.Main(run) }

func run(s *standin.Site) (int, error) {
	s.Configure(7, []string{"desk"}, s.Route(1, "desk", "unsafe"))
	for i := range byte(4) {
		if _, err := s.AddServer(10, 1+i, 0x7f3a9100+uint64(i), "desk", "a"); err != nil {
			return 0, err
		}
	}
	var machines []*standin.Daemon
	for i := range byte(daemons) {
		d, err := s.AddDaemon(1+i, "a", s.Seeds(1, 2), s.StoreAddr())
		if err != nil {
			return 0, err
		}
		machines = append(machines, d)
	}
	consumer, err := s.AddConsumer(7)
	if err != nil {
		return 0, err
	}
	if err := s.AwaitReady(daemons); err != nil {
		return 0, err
	}
	consumer.Lose = loseFirstAccept(s)
	var broken, failed atomic.Int64
	var all sync.WaitGroup
	for i := range flows {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			err := useFlow(s, consumer, i)
			if errors.Is(err, standin.ErrReset) {
				broken.Add(1)
			}
			if err != nil {
				failed.Add(1)
				s.Record.Add("flow %d FAILED: %v", i, err)
			}
		})
	}
	time.Sleep(rollDelay)
	for _, d := range machines {
		next := time.Now().Add(rollGap)
		d.Signal(syscall.SIGTERM)
		if !d.Wait(standin.GracePeriod) {
			return 0, fmt.Errorf("%s outlived its grace period", d.Name)
		}
		time.Sleep(startDelay)
		if err := d.Start(); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(next))
	}
	all.Wait()
	s.Record.Add("flows: %d, failed: %d, reset while open at another server: %d; datagrams of the consumer: %d", flows, failed.Load(), broken.Load(), consumer.Datagrams.Load())
	if failed.Load() > broken.Load() {
		return 0, fmt.Errorf("%d flows failed otherwise", failed.Load()-broken.Load())
	}
	return int(broken.Load()), nil
}

// loseFirstAccept returns a function that loses the first SYN+ACK of one in lossEvery
// flows, or none without the disruption.
func loseFirstAccept(s *standin.Site) func(standin.Packet, netip.AddrPort) bool {
	seen := map[netip.AddrPort]bool{}
	return func(p standin.Packet, _ netip.AddrPort) bool {
		if p.Flags&standin.SYN == 0 || seen[p.Dst] {
			return false
		}
		seen[p.Dst] = true
		return s.Trouble && len(seen)%lossEvery == 0
	}
}

// useFlow opens a flow and sends requests on it with pauses.
func useFlow(s *standin.Site, c *standin.Consumer, number int) error {
	f, err := c.Open(s.Service(1))
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	for i := range requests {
		if i > 0 {
			time.Sleep(pause)
		}
		text := fmt.Sprintf("confirm %d.%d", number, i)
		s.Record.Add("consumer: request %q on flow %s, open at %s", text, f.Addr, f.Server)
		answer, err := f.Request(text)
		if err != nil {
			return fmt.Errorf("request %q: %w", text, err)
		}
		if !strings.HasSuffix(answer, " "+text) {
			return fmt.Errorf("request %q got the answer %q", text, answer)
		}
		s.Record.Add("consumer: answer %q", answer)
	}
	f.Close()
	return nil
}
