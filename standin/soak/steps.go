package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/wait"
	"knapweedshore.example/standin/platform"
)

// stepKind is a kind of step.
type stepKind struct {
	// weight is the relative frequency of the kind in schedules.
	weight int
	run    func(ctx context.Context, s *site, step Step)
	// wholeStore is set if the kind impairs the store for all daemons, so that none is
	// stable and promises with a time limit do not hold.
	wholeStore bool
}

// stepKinds holds all kinds of steps by name. Schedules depend on the order of the
// names, so a renamed kind changes the schedules of all seeds.
var stepKinds = map[string]stepKind{
	"restart daemons in turn":       {4, restartInTurn, false},
	"kill daemons":                  {3, killDaemons, false},
	"freeze a daemon":               {3, freezeDaemon, false},
	"hang up and change settings":   {1, reloadSettings, false},
	"cut a zone off":                {2, cutZone, false},
	"cut a daemon off one way":      {2, cutOneWay, false},
	"delay a daemon's links":        {2, delayLinks, false},
	"cut daemons off the store":     {2, cutStore, false},
	"refuse daemons at the store":   {3, failStoreForDaemons, false},
	"take the store away":           {2, failStore, true},
	"slow the store":                {1, slowStore, true},
	"lose answers of the store":     {1, loseResponses, true},
	"forget the store's history":    {1, dropStoreHistory, true},
	"let registrations lapse":       {1, expireRegistrations, true},
	"silence open connections":      {1, silenceConnections, false},
	"reset open connections":        {1, resetConnections, false},
	"drain and replace a server":    {5, drainServer, false},
	"crash a server, reuse address": {3, crashServer, false},
	"restart a server":              {1, restartServer, false},
	"change the configuration":      {5, changeConfig, false},
	"change it many times":          {1, changeConfigRepeatedly, false},
	restoreKind:                     {0, restoreStore, true},  // drawn by WithRestores
	evacuateKind:                    {0, evacuateZone, false}, // drawn by WithEvacuations
}

// affectedMachines returns count machines, beginning with the step's daemon.
func (s *site) affectedMachines(step Step, count int) []*machine {
	var out []*machine
	for i := range min(count, len(s.machines)) {
		out = append(out, s.machines[(step.Daemon+i)%len(s.machines)])
	}
	return out
}

func daemonNodes(machines []*machine) []node {
	var out []node
	for _, m := range machines {
		out = append(out, daemonNode(m.number))
	}
	return out
}

// allDaemonNodes returns the nodes of all daemons.
func (s *site) allDaemonNodes() []node { return daemonNodes(s.machines) }

// restartInTurn terminates and restarts daemons one after the other.
func restartInTurn(ctx context.Context, s *site, step Step) {
	for _, m := range s.affectedMachines(step, step.Count) {
		end := s.checker.impair(daemonNode(m.number))
		m.terminate(ctx)
		wait.For(ctx, restartDelay)
		m.start()
		wait.Until(ctx, readyBound, func() bool { st, err := m.queryStatus(ctx); return err == nil && st.Ready })
		end()
	}
}

// killDaemons kills daemons at once and starts them again later.
func killDaemons(ctx context.Context, s *site, step Step) {
	machines := s.affectedMachines(step, step.Count)
	defer s.checker.impair(daemonNodes(machines)...)()
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.kill()
	}
	wait.For(ctx, restartDelay+step.Duration/4)
	for _, m := range machines {
		m.start()
	}
}

// freezeDaemon stops a daemon with SIGSTOP and continues it later.
func freezeDaemon(ctx context.Context, s *site, step Step) {
	m := s.affectedMachines(step, 1)[0]
	defer s.checker.impair(daemonNode(m.number))()
	m.freeze(true)
	wait.For(ctx, step.Duration)
	m.freeze(false)
}

// reloadSettings changes the log level in the settings files of daemons and sends them
// SIGHUP.
func reloadSettings(_ context.Context, s *site, step Step) {
	for _, m := range s.affectedMachines(step, step.Count) {
		level := "info"
		if step.Count%2 == 0 {
			level = "debug"
		}
		if err := m.writeSettings(level); err != nil {
			s.checker.addViolation("settings of %s: %v", m.name, err)
		}
		m.signal(syscall.SIGHUP)
	}
}

// cutZone cuts the links between the daemons of a zone and the daemons and servers of
// the other zones, and in half of the cases those to the store.
func cutZone(ctx context.Context, s *site, step Step) {
	var cut []direction
	var inside []*machine
	cutBoth := func(a, b node) { cut = append(cut, direction{a, b}, direction{b, a}) }
	for _, m := range s.machines {
		if m.zone == step.Zone {
			inside = append(inside, m)
		}
		if m.zone == step.Zone && step.Count%2 == 0 {
			cutBoth(daemonNode(m.number), storeNode)
		}
		for _, other := range s.machines {
			if m.zone == step.Zone && other.zone != step.Zone {
				cutBoth(daemonNode(m.number), daemonNode(other.number))
			}
		}
		s.mu.Lock()
		for _, host := range s.servers {
			if (m.zone == step.Zone) != (host.zone == step.Zone) {
				cutBoth(daemonNode(m.number), serverNode(host.index))
			}
		}
		s.mu.Unlock()
	}
	defer s.checker.impair(daemonNodes(inside)...)()
	defer s.linkFaults.add(cut, true, 0)()
	wait.For(ctx, step.Duration)
}

// peerLinks returns the directions from a daemon to all others and back.
func (s *site) peerLinks(m *machine) (out, in []direction) {
	for _, other := range s.machines {
		if other != m {
			out = append(out, direction{daemonNode(m.number), daemonNode(other.number)})
			in = append(in, direction{daemonNode(other.number), daemonNode(m.number)})
		}
	}
	return out, in
}

// cutOneWay cuts one direction of the links between a daemon and all others.
func cutOneWay(ctx context.Context, s *site, step Step) {
	m := s.affectedMachines(step, 1)[0]
	out, in := s.peerLinks(m)
	cut := out
	if step.Count%2 == 0 {
		cut = in
	}
	defer s.checker.impair(daemonNode(m.number))()
	defer s.linkFaults.add(cut, true, 0)()
	wait.For(ctx, step.Duration)
}

// delayStep times the step's count is the delay of a link.
const delayStep = 80 * time.Millisecond

// delayLinks delays all packets between a daemon and the others.
func delayLinks(ctx context.Context, s *site, step Step) {
	m := s.affectedMachines(step, 1)[0]
	out, in := s.peerLinks(m)
	defer s.checker.impair(daemonNode(m.number))()
	defer s.linkFaults.add(append(out, in...), false, time.Duration(step.Count)*delayStep)()
	wait.For(ctx, step.Duration)
}

// cutStore cuts the links between daemons and the store.
func cutStore(ctx context.Context, s *site, step Step) {
	machines := s.affectedMachines(step, step.Count)
	var cut []direction
	for _, n := range daemonNodes(machines) {
		cut = append(cut, direction{n, storeNode}, direction{storeNode, n})
	}
	defer s.checker.impair(daemonNodes(machines)...)()
	defer s.linkFaults.add(cut, true, 0)()
	wait.For(ctx, step.Duration)
}

// injectStoreFault applies a fault to the calls that some daemons make to the store.
func (s *site) injectStoreFault(ctx context.Context, machines []*machine, f platform.Fault, duration time.Duration) {
	for _, m := range machines {
		s.endpoints[m.number].SetFault(f)
	}
	wait.For(ctx, duration)
	for _, m := range machines {
		s.endpoints[m.number].SetFault(platform.NoFault)
	}
}

// storeOutages are the faults that make the store unusable.
var storeOutages = []platform.Fault{platform.Unavailable, platform.Throttled, platform.Unresponsive}

// failStoreForDaemons makes the store unusable for some daemons but not for all.
func failStoreForDaemons(ctx context.Context, s *site, step Step) {
	machines := s.affectedMachines(step, 2*step.Count)
	if len(machines) == len(s.machines) {
		machines = machines[1:]
	}
	defer s.checker.impair(daemonNodes(machines)...)()
	s.injectStoreFault(ctx, machines, storeOutages[step.Server%len(storeOutages)], step.Duration)
}

// failStore makes the store unusable for all daemons.
func failStore(ctx context.Context, s *site, step Step) {
	defer s.checker.impair(storeNode)()
	s.injectStoreFault(ctx, s.machines, storeOutages[step.Server%len(storeOutages)], step.Duration)
}

// slowStore delays the responses of the store.
func slowStore(ctx context.Context, s *site, step Step) {
	var delayed []direction
	for _, n := range s.allDaemonNodes() {
		delayed = append(delayed, direction{storeNode, n})
	}
	defer s.checker.impair(storeNode)()
	defer s.linkFaults.add(delayed, false, time.Duration(step.Count)*delayStep)()
	wait.For(ctx, step.Duration)
}

// loseResponses makes the store execute the calls of some daemons without responding.
func loseResponses(ctx context.Context, s *site, step Step) {
	machines := s.affectedMachines(step, 2*step.Count)
	defer s.checker.impair(append(daemonNodes(machines), storeNode)...)()
	s.injectStoreFault(ctx, machines, platform.ResponseLost, step.Duration)
}

// dropStoreHistory makes watches after older revisions fail.
func dropStoreHistory(_ context.Context, s *site, _ Step) {
	defer s.checker.impair(storeNode)()
	s.store.DropHistory()
}

// maxReregistrationDelay is the maximum time between the return of the store and the
// return of the registrations.
const maxReregistrationDelay = 1500 * time.Millisecond

// expireRegistrations makes the store unavailable, removes the registrations of all
// ready servers as if they had expired meanwhile, and restores them later.
func expireRegistrations(ctx context.Context, s *site, step Step) {
	defer s.checker.impair(storeNode)()
	s.injectStoreFault(ctx, s.machines, platform.Unavailable, step.Duration)
	s.mu.Lock()
	var ready []*serverHost
	for _, host := range s.servers {
		if host.ready {
			ready = append(ready, host)
			s.store.Delete(host.backend.Key())
		}
	}
	s.mu.Unlock()
	wait.For(ctx, maxReregistrationDelay*time.Duration(step.Count)/4)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range ready {
		if host.ready {
			s.registerLocked(host.backend, "ready")
		}
	}
}

// silenceConnections stops forwarding on the open connections of a daemon without
// closing them. New connections work.
func silenceConnections(_ context.Context, s *site, step Step) {
	defer s.checker.impair(s.allDaemonNodes()...)()
	s.linkFaults.forEachConn(daemonNode(step.Daemon), (*relayedConn).silence)
}

// resetConnections resets the open connections of a daemon. New connections work.
func resetConnections(_ context.Context, s *site, step Step) {
	defer s.checker.impair(s.allDaemonNodes()...)()
	s.linkFaults.forEachConn(daemonNode(step.Daemon), (*relayedConn).reset)
}

// takeReadyServer marks a ready server as not ready and returns its host. It returns nil
// if that would leave fewer than minReadyServers ready servers in every pool, or none outside
// evacuated zones.
func (s *site) takeReadyServer(step Step) *serverHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready, usable := map[string]int{}, s.usableServers()
	for _, host := range s.servers {
		if host.ready {
			ready[host.backend.Pool]++
		}
	}
	for i := range s.servers {
		host := s.servers[(step.Server+i)%len(s.servers)]
		spare := s.evacuated[host.zone] || usable[host.backend.Pool] > 1
		if host.ready && spare && ready[host.backend.Pool] > minReadyServers {
			host.ready = false
			return host
		}
	}
	return nil
}

// drainServer adds a new server to the pool of a ready one, drains the latter and stops
// it after drainBound and the step's duration.
func drainServer(ctx context.Context, s *site, step Step) {
	host := s.takeReadyServer(step)
	if host == nil {
		return
	}
	old := host.backend
	if _, err := s.addServer(old.Pool, host.zone); err != nil {
		s.checker.addViolation("start new server: %v", err)
		return
	}
	s.register(old, "draining")
	s.checker.recordDrain(old.Number)
	wait.For(ctx, drainBound+step.Duration)
	defer s.checker.impair(serverNode(host.index))()
	s.unregister(old)
	old.Close()
}

// Times after the crash of a server.
const (
	// registrationTTL is the time after which the registration expires, because the
	// server has missed three writes.
	registrationTTL = 2300 * time.Millisecond
	// addressReuseDelay is the time from the end of the registration until a new
	// server gets the address.
	addressReuseDelay = 2 * time.Second
)

// crashServer stops a server abruptly. After its registration has expired, a server of
// the other service gets its address.
func crashServer(ctx context.Context, s *site, step Step) {
	host := s.takeReadyServer(step)
	if host == nil {
		return
	}
	defer s.checker.impair(serverNode(host.index))()
	old := host.backend
	old.Close()
	wait.For(ctx, registrationTTL)
	s.unregister(old)
	wait.For(ctx, addressReuseDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	next := counterRoute
	if old.Pool == counterRoute {
		next = guideRoute
	}
	if err := s.startServer(host, next); err != nil {
		s.checker.addViolation("start server on a reused address: %v", err)
	}
}

// restartServer restarts a server with the same id. Its flows are lost.
func restartServer(_ context.Context, s *site, step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.servers[step.Server%len(s.servers)]
	if !host.ready {
		return
	}
	defer s.checker.impair(serverNode(host.index))()
	host.backend.Restart()
	s.registerLocked(host.backend, "ready")
}

// probeMargin is the time between the end of configBound and the probes.
const probeMargin = 20 * time.Millisecond

// changeConfig adds or drops toggledRoute and checks it at each stable daemon after
// configBound.
func changeConfig(ctx context.Context, s *site, _ Step) {
	s.mu.Lock()
	present := !s.routePresent
	s.mu.Unlock()
	s.configure(present)
	if !wait.For(ctx, configBound+probeMargin) {
		return
	}
	s.probe(ctx)
}

// repeatedChangePause is the time between two changes of a series.
const repeatedChangePause = 150 * time.Millisecond

// changeConfigRepeatedly writes a series of configurations before changeConfig.
func changeConfigRepeatedly(ctx context.Context, s *site, step Step) {
	for i := range 4 * step.Count {
		s.configure(i%2 == 0)
		wait.For(ctx, repeatedChangePause)
	}
	changeConfig(ctx, s, step)
}

// probeTimeout limits one probe. It allows for a SYN and three retransmissions.
const probeTimeout = 700 * time.Millisecond

// probe opens a flow on toggledRoute through each daemon and checks the result.
func (s *site) probe(ctx context.Context) {
	s.mu.Lock()
	s.lastNumber++
	prober, err := platform.NewCaller(s.network.Addr(proberGroup, byte(s.lastNumber), dataPort), probeTimeout)
	s.mu.Unlock()
	if err != nil {
		s.checker.addViolation("start prober: %v", err)
		return
	}
	defer prober.Close()
	for _, m := range s.machines {
		if ctx.Err() != nil {
			return
		}
		began := time.Now()
		s.checker.mu.Lock()
		present, definite := s.checker.expectedRoute(began)
		s.checker.mu.Unlock()
		_, err := prober.Open(platform.FixedRouter(m.data), routes[toggledRoute])
		s.checker.checkProbe(m, began, definite, present, err)
	}
}

// checkProbe checks the result of a probe if the daemon was stable and the configuration
// did not change meanwhile. definite and present are the results of expectedRoute at the
// beginning of the probe.
func (c *checker) checkProbe(m *machine, began time.Time, definite, present bool, err error) {
	c.mu.Lock()
	now := time.Now()
	presentNow, definiteNow := c.expectedRoute(now)
	conclusive := definite && definiteNow && presentNow == present && c.stable(m.number, now)
	// While servers or links are impaired, a probe may fail without a refusal.
	faultFree := c.faultFree(began, now)
	if conclusive {
		c.counts.Probes++
	}
	c.mu.Unlock()
	switch {
	case !conclusive:
	case present && errors.Is(err, platform.ErrReset):
		c.addViolation("%s refused a flow on a route that was added", m.name)
	case present && err != nil && faultFree:
		c.addViolation("%s did not serve a flow on a route that was added: %v", m.name, err)
	case !present && err == nil:
		c.addViolation("%s served a flow on a route that was dropped", m.name)
	}
}
