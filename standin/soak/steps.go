package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/wait"
	"knapweedshore.example/standin/platform"
)

// kind is a kind of step; weight is how often it is drawn.
type kind struct {
	weight int
	run    func(ctx context.Context, s *site, step Step)
	// wholeStore kinds impair the store for all daemons, so that none is in touch and
	// the promises with a bound do not hold.
	wholeStore bool
}

// kinds are all kinds of steps by their names.
var kinds = map[string]kind{
	"restart daemons in turn":       {4, restartInTurn, false},
	"kill daemons":                  {3, killDaemons, false},
	"freeze a daemon":               {3, freezeDaemon, false},
	"hang up and change settings":   {1, hangUp, false},
	"cut a zone off":                {2, cutZone, false},
	"cut a daemon off one way":      {2, cutOneWay, false},
	"delay a daemon's links":        {2, delayLinks, false},
	"cut daemons off the store":     {2, cutStore, false},
	"refuse daemons at the store":   {3, refuseDaemons, false},
	"take the store away":           {2, takeStoreAway, true},
	"slow the store":                {1, slowStore, true},
	"lose answers of the store":     {1, loseAnswers, true},
	"forget the store's history":    {1, forgetHistory, true},
	"let registrations lapse":       {1, lapse, true},
	"silence open connections":      {1, silenceConnections, false},
	"reset open connections":        {1, resetConnections, false},
	"drain and replace a server":    {5, drainServer, false},
	"crash a server, reuse address": {3, crashServer, false},
	"restart a server":              {1, restartServer, false},
	"change the configuration":      {5, changeConfig, false},
	"change it many times":          {1, stormConfig, false},
}

// concerned returns count machines from the step's daemon on.
func (s *site) concerned(step Step, count int) []*machine {
	var out []*machine
	for i := range min(count, len(s.machines)) {
		out = append(out, s.machines[(step.Daemon+i)%len(s.machines)])
	}
	return out
}

func nodes(machines []*machine) []node {
	var out []node
	for _, m := range machines {
		out = append(out, daemonNode(m.number))
	}
	return out
}

// allDaemons returns the nodes of all daemons.
func (s *site) allDaemons() []node { return nodes(s.machines) }

// restartInTurn ends daemons in the orderly way one after the other and starts them
// again.
func restartInTurn(ctx context.Context, s *site, step Step) {
	for _, m := range s.concerned(step, step.Count) {
		end := s.judge.impair(daemonNode(m.number))
		m.terminate(ctx)
		wait.For(ctx, startPause)
		m.start()
		wait.Until(ctx, readyBound, func() bool { st, err := m.status(ctx); return err == nil && st.Ready })
		end()
	}
}

// killDaemons kills daemons at the same moment and starts them again later.
func killDaemons(ctx context.Context, s *site, step Step) {
	machines := s.concerned(step, step.Count)
	defer s.judge.impair(nodes(machines)...)()
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.kill()
	}
	wait.For(ctx, startPause+step.Duration/4)
	for _, m := range machines {
		m.start()
	}
}

func freezeDaemon(ctx context.Context, s *site, step Step) {
	m := s.concerned(step, 1)[0]
	defer s.judge.impair(daemonNode(m.number))()
	m.freeze(true)
	wait.For(ctx, step.Duration)
	m.freeze(false)
}

func hangUp(_ context.Context, s *site, step Step) {
	for _, m := range s.concerned(step, step.Count) {
		level := "info"
		if step.Count%2 == 0 {
			level = "debug"
		}
		if err := m.settings(level); err != nil {
			s.judge.violated("settings of %s: %v", m.name, err)
		}
		m.signal(syscall.SIGHUP)
	}
}

// cutZone parts the daemons of a zone from the other zones' daemons and servers,
// and in half of the cases from the store.
func cutZone(ctx context.Context, s *site, step Step) {
	var cut []direction
	var inside []*machine
	both := func(a, b node) { cut = append(cut, direction{a, b}, direction{b, a}) }
	for _, m := range s.machines {
		if m.zone == step.Zone {
			inside = append(inside, m)
		}
		if m.zone == step.Zone && step.Count%2 == 0 {
			both(daemonNode(m.number), storeNode)
		}
		for _, other := range s.machines {
			if m.zone == step.Zone && other.zone != step.Zone {
				both(daemonNode(m.number), daemonNode(other.number))
			}
		}
		s.mu.Lock()
		for _, host := range s.servers {
			if (m.zone == step.Zone) != (host.zone == step.Zone) {
				both(daemonNode(m.number), serverNode(host.index))
			}
		}
		s.mu.Unlock()
	}
	defer s.judge.impair(nodes(inside)...)()
	defer s.conditions.add(cut, true, 0)()
	wait.For(ctx, step.Duration)
}

// links returns the directions between a daemon and all others.
func (s *site) links(m *machine) (out, in []direction) {
	for _, other := range s.machines {
		if other != m {
			out = append(out, direction{daemonNode(m.number), daemonNode(other.number)})
			in = append(in, direction{daemonNode(other.number), daemonNode(m.number)})
		}
	}
	return out, in
}

func cutOneWay(ctx context.Context, s *site, step Step) {
	m := s.concerned(step, 1)[0]
	out, in := s.links(m)
	cut := out
	if step.Count%2 == 0 {
		cut = in
	}
	defer s.judge.impair(daemonNode(m.number))()
	defer s.conditions.add(cut, true, 0)()
	wait.For(ctx, step.Duration)
}

// delayPerCount times the step's count is how late packets are.
const delayPerCount = 80 * time.Millisecond

func delayLinks(ctx context.Context, s *site, step Step) {
	m := s.concerned(step, 1)[0]
	out, in := s.links(m)
	defer s.judge.impair(daemonNode(m.number))()
	defer s.conditions.add(append(out, in...), false, time.Duration(step.Count)*delayPerCount)()
	wait.For(ctx, step.Duration)
}

func cutStore(ctx context.Context, s *site, step Step) {
	machines := s.concerned(step, step.Count)
	var cut []direction
	for _, n := range nodes(machines) {
		cut = append(cut, direction{n, storeNode}, direction{storeNode, n})
	}
	defer s.judge.impair(nodes(machines)...)()
	defer s.conditions.add(cut, true, 0)()
	wait.For(ctx, step.Duration)
}

// fail lets the store fail for some daemons.
func (s *site) fail(ctx context.Context, machines []*machine, f platform.Fault, length time.Duration) {
	for _, m := range machines {
		s.endpoints[m.number].SetFault(f)
	}
	wait.For(ctx, length)
	for _, m := range machines {
		s.endpoints[m.number].SetFault(platform.NoFault)
	}
}

// refusals are the ways in which the store turns daemons away.
var refusals = []platform.Fault{platform.Unavailable, platform.Throttled, platform.Unresponsive}

func refuseDaemons(ctx context.Context, s *site, step Step) {
	machines := s.concerned(step, 2*step.Count)
	if len(machines) == len(s.machines) {
		machines = machines[1:]
	}
	defer s.judge.impair(nodes(machines)...)()
	s.fail(ctx, machines, refusals[step.Server%len(refusals)], step.Duration)
}

func takeStoreAway(ctx context.Context, s *site, step Step) {
	defer s.judge.impair(storeNode)()
	s.fail(ctx, s.machines, refusals[step.Server%len(refusals)], step.Duration)
}

func slowStore(ctx context.Context, s *site, step Step) {
	var slow []direction
	for _, n := range s.allDaemons() {
		slow = append(slow, direction{storeNode, n})
	}
	defer s.judge.impair(storeNode)()
	defer s.conditions.add(slow, false, time.Duration(step.Count)*delayPerCount)()
	wait.For(ctx, step.Duration)
}

func loseAnswers(ctx context.Context, s *site, step Step) {
	machines := s.concerned(step, 2*step.Count)
	defer s.judge.impair(append(nodes(machines), storeNode)...)()
	s.fail(ctx, machines, platform.ResponseLost, step.Duration)
}

func forgetHistory(_ context.Context, s *site, _ Step) {
	defer s.judge.impair(storeNode)()
	s.store.DropHistory()
}

// lapseReturn is within which the registrations are back.
const lapseReturn = 1500 * time.Millisecond

// lapse takes the store away, lets the registrations of all servers lapse meanwhile
// and brings them back after its return.
func lapse(ctx context.Context, s *site, step Step) {
	defer s.judge.impair(storeNode)()
	s.fail(ctx, s.machines, platform.Unavailable, step.Duration)
	s.mu.Lock()
	var ready []*serverHost
	for _, host := range s.servers {
		if host.ready {
			ready = append(ready, host)
			s.store.Delete(host.backend.Key())
		}
	}
	s.mu.Unlock()
	wait.For(ctx, lapseReturn*time.Duration(step.Count)/4)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range ready {
		if host.ready {
			s.store.Put(host.backend.Key(), host.backend.Registration("ready"))
		}
	}
}

// silenceConnections leaves the connections open that a daemon has, and lets
// nothing through them; new ones work.
func silenceConnections(_ context.Context, s *site, step Step) {
	defer s.judge.impair(s.allDaemons()...)()
	s.conditions.disturb(daemonNode(step.Daemon), (*relayed).silence)
}

func resetConnections(_ context.Context, s *site, step Step) {
	defer s.judge.impair(s.allDaemons()...)()
	s.conditions.disturb(daemonNode(step.Daemon), (*relayed).reset)
}

// leaving takes a ready server out of its pool if enough others stay. It returns
// nil if none may go.
func (s *site) leaving(step Step) *serverHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := map[string]int{}
	for _, host := range s.servers {
		if host.ready {
			ready[host.backend.Pool]++
		}
	}
	for i := range s.servers {
		host := s.servers[(step.Server+i)%len(s.servers)]
		if host.ready && ready[host.backend.Pool] > leastServers {
			host.ready = false
			return host
		}
	}
	return nil
}

// drainServer lets a server leave in the orderly way; a new one takes its part.
func drainServer(ctx context.Context, s *site, step Step) {
	host := s.leaving(step)
	if host == nil {
		return
	}
	old := host.backend
	if _, err := s.addServer(old.Pool, host.zone); err != nil {
		s.judge.violated("new server: %v", err)
		return
	}
	s.store.Put(old.Key(), old.Registration("draining"))
	s.judge.drains(old.Number)
	wait.For(ctx, drainBound+step.Duration)
	defer s.judge.impair(serverNode(host.index))()
	s.store.Delete(old.Key())
	old.Close()
}

// Times of a server that crashes: its registration vanishes after three missed
// writes, and its address is used again.
const (
	registrationLapse = 2300 * time.Millisecond
	addressReuse      = 2 * time.Second
)

// crashServer ends a server without a word. A server of the other service gets its
// address.
func crashServer(ctx context.Context, s *site, step Step) {
	host := s.leaving(step)
	if host == nil {
		return
	}
	defer s.judge.impair(serverNode(host.index))()
	old := host.backend
	old.Close()
	wait.For(ctx, registrationLapse)
	s.store.Delete(old.Key())
	wait.For(ctx, addressReuse)
	s.mu.Lock()
	defer s.mu.Unlock()
	next := counterRoute
	if old.Pool == counterRoute {
		next = guideRoute
	}
	if err := s.occupy(host, next); err != nil {
		s.judge.violated("server on a used address: %v", err)
	}
}

// restartServer lets a server start again under its id, without its flows.
func restartServer(_ context.Context, s *site, step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.servers[step.Server%len(s.servers)]
	if !host.ready {
		return
	}
	defer s.judge.impair(serverNode(host.index))()
	host.backend.Restart()
	s.store.Put(host.backend.Key(), host.backend.Registration("ready"))
}

// probeMargin lets the bound of a change pass before the probes.
const probeMargin = 20 * time.Millisecond

// changeConfig adds or drops a route and checks it at each daemon in touch when the
// bound has passed.
func changeConfig(ctx context.Context, s *site, _ Step) {
	s.mu.Lock()
	present := !s.present
	s.mu.Unlock()
	s.configure(present)
	if !wait.For(ctx, configBound+probeMargin) {
		return
	}
	s.probe(ctx)
}

// stormPause is between two changes of a series.
const stormPause = 150 * time.Millisecond

func stormConfig(ctx context.Context, s *site, step Step) {
	for i := range 4 * step.Count {
		s.configure(i%2 == 0)
		wait.For(ctx, stormPause)
	}
	changeConfig(ctx, s, step)
}

// probePatience bounds one probe: an opening packet and three copies.
const probePatience = 700 * time.Millisecond

// probe opens a flow on the route that comes and goes through each daemon.
func (s *site) probe(ctx context.Context) {
	s.mu.Lock()
	s.numbers++
	prober, err := platform.NewCaller(s.network.Addr(proberGroup, byte(s.numbers), dataPort), probePatience)
	s.mu.Unlock()
	if err != nil {
		s.judge.violated("prober: %v", err)
		return
	}
	defer prober.Close()
	for _, m := range s.machines {
		if ctx.Err() != nil {
			return
		}
		began := time.Now()
		s.judge.mu.Lock()
		present, settled := s.judge.settled(began)
		s.judge.mu.Unlock()
		_, err := prober.Open(platform.FixedRouter(m.data), routes[addedRoute])
		s.judge.probed(m, began, settled, present, err)
	}
}

// probed judges a probe: the daemon was in touch, and the configuration did not
// change meanwhile.
func (j *judge) probed(m *machine, began time.Time, settled, present bool, err error) {
	j.mu.Lock()
	now := time.Now()
	still, ok := j.settled(now)
	judged := settled && ok && still == present && j.inTouch(m.number, now)
	// A lost opening packet is no refusal while servers or links are impaired.
	calm := j.calm(began, now)
	if judged {
		j.counts.Probes++
	}
	j.mu.Unlock()
	switch {
	case !judged:
	case present && errors.Is(err, platform.ErrReset):
		j.violated("%s refused a flow on a route that was added", m.name)
	case present && err != nil && calm:
		j.violated("%s did not serve a flow on a route that was added: %v", m.name, err)
	case !present && err == nil:
		j.violated("%s served a flow on a route that was dropped", m.name)
	}
}
