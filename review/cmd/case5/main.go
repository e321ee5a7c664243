// Case5 lets the registrations of all servers expire during an outage of the store, with
// servers whose ids carry the number of their zone and a number within it.
package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review.example/cases/standin"
)

const (
	daemons = 3
	flows   = 60
	// zones and perZone give the servers' ids: ten hexadecimal digits, two for the zone
	// and eight for the server.
	zones, perZone = 2, 3
	// outage is how long the store is down, and returnGap the time between two servers
	// that register again. All are back within 2 s.
	outage    = 4400 * time.Millisecond
	returnGap = 250 * time.Millisecond
	// pause is the time between the two requests of a flow, which includes the outage,
	// the return of the servers and the time after which all machines are in touch.
	pause = 12 * time.Second
)

func main() { standin.Main(run) }

func run(s *standin.Site) (int, error) {
	s.Configure(7, []string{"desk"}, s.Route(1, "desk", "unsafe"))
	var servers []*standin.Server
	for zone := range zones {
		for n := range perZone {
			id := uint64(zone+1)<<32 | uint64(n+1)
			server, err := s.AddServer(byte(10+zone), byte(1+n), id, "desk", "a")
			if err != nil {
				return 0, err
			}
			servers = append(servers, server)
		}
	}
	var proxies []*standin.Proxy
	for i := range byte(daemons) {
		proxy, store, err := s.AddProxy(1 + i)
		if err != nil {
			return 0, err
		}
		proxies = append(proxies, proxy)
		if _, err := s.AddDaemon(1+i, "a", s.Seeds(1, 2), store); err != nil {
			return 0, err
		}
	}
	consumer, err := s.AddConsumer(7)
	if err != nil {
		return 0, err
	}
	if err := s.AwaitReady(daemons); err != nil {
		return 0, err
	}
	var broken, failed atomic.Int64
	var all sync.WaitGroup
	for i := range flows {
		all.Go(func() {
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
	time.Sleep(time.Second)
	if s.Trouble {
		breakStore(s, proxies, servers)
	}
	all.Wait()
	s.Record.Add("flows: %d, failed: %d, reset while open at another server: %d", flows, failed.Load(), broken.Load())
	if failed.Load() > broken.Load() {
		return 0, fmt.Errorf("%d flows failed otherwise", failed.Load()-broken.Load())
	}
	return int(broken.Load()), nil
}

// breakStore makes the store unavailable for a time in which the servers' entries expire.
// After its return the servers register again, those of the last zone first.
func breakStore(s *standin.Site, proxies []*standin.Proxy, servers []*standin.Server) {
	s.Record.Add("the store goes DOWN")
	for _, p := range proxies {
		p.Refuse(true)
	}
	time.Sleep(outage)
	for _, server := range servers {
		s.Store.Delete(server.Key())
	}
	for _, p := range proxies {
		p.Refuse(false)
	}
	s.Record.Add("the store is BACK; the servers' entries have expired")
	for i := range servers {
		time.Sleep(returnGap)
		server := servers[len(servers)-1-i]
		s.Store.Put(server.Key(), server.Entry("ready"))
		s.Record.Add("server %s is registered again", server.ID)
	}
}

// useFlow opens a flow and sends two requests on it.
func useFlow(s *standin.Site, c *standin.Consumer, number int) error {
	f, err := c.Open(s.Service(1))
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	for i := range 2 {
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
