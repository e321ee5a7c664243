// Case1 loses the first SYN+ACK of a few flows that consumers keep open with pauses.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review.example/cases/standin"
)

// The load: flows that are kept open for several requests.
const (
	flows = 60
	// lossEvery is one of how many flows loses the first SYN+ACK.
	lossEvery = 15
	// pause is the time between two requests of a flow. Flows may idle for 15 s.
	pause    = 6 * time.Second
	requests = 3
)

func main() { standin.Main(run) }

func run(s *standin.Site) (int, error) {
	s.Configure(7, []string{"desk"}, s.Route(1, "desk", "unsafe"))
	for i := range byte(4) {
		if _, err := s.AddServer(10, 1+i, 0x7f3a9100+uint64(i), "desk", "a"); err != nil {
			return 0, err
		}
	}
	for i := range byte(3) {
		if _, err := s.AddDaemon(1+i, "a", s.Seeds(1, 2), s.StoreAddr()); err != nil {
			return 0, err
		}
	}
	consumer, err := s.AddConsumer(7)
	if err != nil {
		return 0, err
	}
	if err := s.AwaitReady(3); err != nil {
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
