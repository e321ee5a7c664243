package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
)

// model is a queueing simulation of callers, daemons and servers.
type model struct {
	daemons, servers int
	// speeds are assigned to the servers in turn; 1 is normal.
	speeds            []float64
	requestsPerSecond float64
	// serviceTime is the mean time that a request takes at speed 1.
	serviceTime time.Duration
	// target is the latency up to which a response is in time.
	target time.Duration
	// One server in five is five times slower from slowFrom until slowUntil, and
	// stops answering at deadFrom unless that is zero.
	slowFrom, slowUntil, deadFrom time.Duration
	// failShare returns the part of the requests through a daemon that a server fails at
	// once at a time; nil if no server fails any.
	failShare func(server, daemon int, now time.Duration) float64
	// The servers for which started reports true work coldFactor times slower from startAt
	// for coldFor.
	started          func(server int) bool
	startAt, coldFor time.Duration
	coldFactor       float64
	// observe is called with each request that reaches a server, and the number of those
	// that it has already; nil if nobody wants to know.
	observe func(server int, now time.Duration, busy int)
	// duration is the simulated time.
	duration time.Duration
}

const (
	// modelSlots is the number of requests that a server works on at once, and
	// modelQueueLimit the number that it queues.
	modelSlots      = 2
	modelQueueLimit = 8
	// reportInterval is the time between two reports of a daemon.
	reportInterval = 20 * time.Millisecond
)

const (
	// failureTime is how long a server takes to fail a request.
	failureTime = 2 * time.Millisecond
	// maxRetries is how often callers repeat a request that a server has failed.
	maxRetries = 2
)

// idempotent reports whether callers may repeat the request with a key. One in five must
// not be repeated.
func idempotent(key uint64) bool { return key%5 != 0 }

// policy chooses servers for one daemon of the model. The caller of choose calls
// either done when the response has arrived, or drop when there is none.
type policy interface {
	choose(key uint64, now time.Time) (server int, done func(now time.Time, failed bool), drop func())
	report(all []policy, self int, now time.Time)
}

type modelServer struct {
	speed       float64
	slotFreeAt  [modelSlots]time.Duration
	finishTimes []time.Duration
}

// outcome counts the requests that were answered within the target, answered
// later, lost, or failed by their server.
type outcome struct{ inTarget, late, lost, failed int }

func (o outcome) total() int { return o.inTarget + o.late + o.lost + o.failed }

func (o outcome) lateShare() float64   { return float64(o.late+o.lost) / float64(o.total()) }
func (o outcome) failedShare() float64 { return float64(o.failed) / float64(o.total()) }

// event is an action at a simulated time.
type event struct {
	at  time.Duration
	run func(now time.Duration)
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

var epoch = time.Unix(0, 0)

// run simulates the model with one policy per daemon. Runs with the same seed
// have the same requests.
func (m model) run(seed uint64, policies []policy) outcome {
	random, failures := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	servers := make([]modelServer, m.servers)
	for i := range servers {
		servers[i].speed = m.speeds[i%len(m.speeds)]
	}
	var out outcome
	var queue eventQueue
	schedule := func(at time.Duration, run func(time.Duration)) { heap.Push(&queue, event{at, run}) }
	for d := range policies {
		var sendReport func(time.Duration)
		sendReport = func(now time.Duration) {
			policies[d].report(policies, d, epoch.Add(now))
			schedule(now+reportInterval, sendReport)
		}
		schedule(time.Duration(d)*reportInterval/time.Duration(len(policies)), sendReport)
	}
	var arrive func(time.Duration)
	arrive = func(now time.Duration) {
		schedule(now+time.Duration(random.ExpFloat64()/m.requestsPerSecond*float64(time.Second)), arrive)
		serviceTime := time.Duration(float64(m.serviceTime) * math.Exp(0.5*random.NormFloat64()-0.125))
		d := random.IntN(m.daemons)
		fails := func(server int, now time.Duration) bool {
			return m.failShare != nil && failures.Float64() < m.failShare(server, d, now)
		}
		m.request(&out, policies[d], servers, random.Uint64(), serviceTime, now, fails, maxRetries, schedule)
	}
	schedule(0, arrive)
	for queue.Len() > 0 && queue[0].at < m.duration {
		e := heap.Pop(&queue).(event)
		e.run(e.at)
	}
	return out
}

// request simulates one request from the choice of a server to its response.
func (m model) request(out *outcome, p policy, servers []modelServer, key uint64, serviceTime, now time.Duration, fails func(server int, now time.Duration) bool, retries int, schedule func(time.Duration, func(time.Duration))) {
	i, done, drop := p.choose(key, epoch.Add(now))
	if fails(i, now) {
		repeated := idempotent(key) && retries > 0
		if !repeated {
			out.failed++
		}
		schedule(now+failureTime, func(now time.Duration) {
			done(epoch.Add(now), true)
			if repeated {
				m.request(out, p, servers, key, serviceTime, now, fails, retries-1, schedule)
			}
		})
		return
	}
	s := &servers[i]
	speed := s.speed
	if i%5 == 0 && now >= m.slowFrom && now < m.slowUntil {
		speed /= 5
	}
	if m.started != nil && m.started(i) && now < m.startAt+m.coldFor {
		speed /= m.coldFactor
	}
	for len(s.finishTimes) > 0 && s.finishTimes[0] <= now {
		s.finishTimes = s.finishTimes[1:]
	}
	if m.observe != nil {
		m.observe(i, now, len(s.finishTimes))
	}
	if m.deadFrom > 0 && now >= m.deadFrom && i%5 == 0 || len(s.finishTimes) >= modelSlots+modelQueueLimit {
		out.lost++
		schedule(now+time.Second, func(time.Duration) { drop() })
		return
	}
	slot := 0
	for j := range s.slotFreeAt {
		if s.slotFreeAt[j] < s.slotFreeAt[slot] {
			slot = j
		}
	}
	end := max(now, s.slotFreeAt[slot]) + time.Duration(float64(serviceTime)/speed)
	s.slotFreeAt[slot] = end
	s.finishTimes = append(s.finishTimes, end)
	if end-now <= m.target {
		out.inTarget++
	} else {
		out.late++
	}
	schedule(end, func(now time.Duration) { done(epoch.Add(now), false) })
}

// placerPolicy adapts a Placer to the policy interface.
type placerPolicy struct {
	placer       *Placer
	route        *directory.Route
	candidates   []*directory.Server
	sendsReports bool
	// candidatesAt returns the candidates at a time; nil if they never change.
	candidatesAt func(now time.Time) []*directory.Server
}

func (p *placerPolicy) choose(_ uint64, now time.Time) (int, func(time.Time, bool), func()) {
	if p.candidatesAt != nil {
		p.candidates = p.candidatesAt(now)
	}
	s, ticket := p.placer.Choose(Request{Route: p.route, Candidates: p.candidates, Now: now})
	return int(s.Number), func(end time.Time, _ bool) {
		p.placer.MarkRequestSent(ticket, now)
		p.placer.Done(ticket, end)
	}, func() { p.placer.Abandon(ticket) }
}

func (p *placerPolicy) report(all []policy, self int, now time.Time) {
	if !p.sendsReports {
		return
	}
	for i, other := range all {
		if i != self {
			other.(*placerPolicy).placer.SetPeerLoad(fmt.Sprint(self), p.placer.Load(now), now)
		}
	}
}

// newPlacerPolicies returns one Placer per daemon. If sendsReports is set, they
// exchange their loads.
func newPlacerPolicies(m model, seed uint64, sendsReports bool) []policy {
	var out []policy
	for d := range m.daemons {
		p := &placerPolicy{placer: New("z", seed+uint64(d)), route: &directory.Route{Name: "r"}, sendsReports: sendsReports}
		for i := range m.servers {
			p.candidates = append(p.candidates, &directory.Server{
				Name: fmt.Sprint(i), Number: uint64(i), Cookie: directory.Cookie(i + 1), Zone: "z", Slots: modelSlots,
			})
		}
		out = append(out, p)
	}
	return out
}

// baselinePolicy adapts a policy of package selection, for comparison.
type baselinePolicy struct {
	policy *selection.Baseline
	pool   *tables.Pool
}

func (b *baselinePolicy) choose(key uint64, now time.Time) (int, func(time.Time, bool), func()) {
	c, err := b.policy.Choose(selection.Request{Key: key, Pool: b.pool, Now: now})
	if err != nil {
		panic(err) // the pool always has a usable server
	}
	id := c.Server.ID
	b.policy.Opened(id, now)
	end := func(end time.Time, _ bool) { b.policy.Closed(id, now, end) }
	return int(id) - 1, end, func() { end(now, false) }
}

func (b *baselinePolicy) report([]policy, int, time.Time) {}

// newBaselinePolicies returns one policy of package selection per daemon.
func newBaselinePolicies(m model, seed uint64, newPolicy func(seed uint64) *selection.Baseline) []policy {
	pool := &tables.Pool{Name: "p"}
	for i := range m.servers {
		pool.Servers = append(pool.Servers, tables.Server{
			ID: tables.ServerID(i + 1), Name: fmt.Sprint(i), State: tables.Active, Weight: 100, Slots: modelSlots, Connections: 2000,
		})
	}
	var out []policy
	for d := range m.daemons {
		out = append(out, &baselinePolicy{policy: newPolicy(seed + uint64(d)), pool: pool})
	}
	return out
}

// models are the load situations in which the policies are compared. 14 servers
// with speeds 0.7, 0.7 and 1.7 have the capacity of 28 slots of speed 1, which is
// 933 requests per second.
var models = map[string]model{
	"usual load, unequal servers": {daemons: 8, servers: 14, speeds: []float64{0.7, 0.7, 1.7}, requestsPerSecond: 400,
		serviceTime: 30 * time.Millisecond, target: 150 * time.Millisecond, duration: 20 * time.Second},
	"burst near the capacity": {daemons: 8, servers: 14, speeds: []float64{0.7, 0.7, 1.7}, requestsPerSecond: 700,
		serviceTime: 30 * time.Millisecond, target: 150 * time.Millisecond, duration: 20 * time.Second},
	"servers turn slow": {daemons: 8, servers: 14, speeds: []float64{0.55, 1.2, 1.2, 1.2}, requestsPerSecond: 400,
		serviceTime: 15 * time.Millisecond, target: 100 * time.Millisecond, slowFrom: 5 * time.Second, slowUntil: 12 * time.Second,
		duration: 20 * time.Second},
	"many daemons": {daemons: 26, servers: 40, speeds: []float64{0.7, 0.7, 1.7}, requestsPerSecond: 1100,
		serviceTime: 30 * time.Millisecond, target: 150 * time.Millisecond, duration: 4 * time.Second},
}

// Guards against a placement that answers fewer requests in time than the simple
// policies that it replaces.
func TestPlacementServesMoreInTimeThanSimplePolicies(t *testing.T) {
	simple := map[string]func(uint64) *selection.Baseline{
		"random":            selection.NewRandom,
		"round robin":       selection.NewRoundRobin,
		"least connections": selection.NewLeastConnections,
		"two choices":       selection.NewTwoChoices,
		"rendezvous":        func(uint64) *selection.Baseline { return selection.NewRendezvous() },
	}
	for name, m := range models {
		t.Run(name, func(t *testing.T) {
			const seed = 7
			got := m.run(seed, newPlacerPolicies(m, seed, true)).lateShare()
			t.Logf("%-20s %.4f late or lost", "placement", got)
			t.Logf("%-20s %.4f late or lost", "without reports", m.run(seed, newPlacerPolicies(m, seed, false)).lateShare())
			for other, newPolicy := range simple {
				share := m.run(seed, newBaselinePolicies(m, seed, newPolicy)).lateShare()
				t.Logf("%-20s %.4f late or lost", other, share)
				if got > share {
					t.Errorf("placement has %.4f late or lost, %s %.4f", got, other, share)
				}
			}
		})
	}
}

// Guards against many flows to servers that do not answer. Only a few may be lost
// before all daemons avoid the servers, and as trials afterwards.
func TestSilentServersGetFewFlows(t *testing.T) {
	is := is.New(t)
	m := model{daemons: 8, servers: 15, speeds: []float64{1}, requestsPerSecond: 400, serviceTime: 30 * time.Millisecond,
		target: 150 * time.Millisecond, deadFrom: 5 * time.Second, duration: 15 * time.Second}
	out := m.run(3, newPlacerPolicies(m, 3, true))
	t.Logf("lost %d of %d", out.lost, out.lost+out.late+out.inTarget)
	// If suspicions were not remembered, a fifth of the requests of 10 s would be
	// lost, which is 800.
	is.True(out.lost < 120)
}

// expireAndRegister returns a function with the candidates of a pool over time. All
// registrations of the pool expire at the given time, and the servers register again
// one after the other within 2 s.
func expireAndRegister(servers []*directory.Server, at time.Duration) func(now time.Time) []*directory.Server {
	const registerWithin = 2 * time.Second
	type state struct {
		from    time.Time
		servers []*directory.Server
	}
	var states []state
	b := directory.NewBuilder()
	addState := func(at time.Duration, changes ...directory.Change) {
		now := epoch.Add(at)
		b.Apply(changes, directory.Position{}, now)
		b.Expire(now, now)
		states = append(states, state{now, b.Build().Candidates("")})
	}
	var register, expire []directory.Change
	for _, s := range servers {
		register = append(register, directory.Change{Server: s})
		expire = append(expire, directory.Change{Deleted: s.Name})
	}
	addState(0, register...)
	addState(at, expire...)
	for i, c := range register {
		addState(at+registerWithin*time.Duration(i+1)/time.Duration(len(servers)), c)
	}
	return func(now time.Time) []*directory.Server {
		i := len(states) - 1
		for states[i].from.After(now) {
			i--
		}
		return states[i].servers
	}
}

// Guards against sending all flows to the first few servers that register again
// after all registrations have expired, although the others are alive. Callers
// must be served as well as without the expiry.
func TestLapsedServersShareTheLoad(t *testing.T) {
	m := models["usual load, unequal servers"]
	m.duration = 10 * time.Second
	baseline := m.run(5, newPlacerPolicies(m, 5, true))
	policies := newPlacerPolicies(m, 5, true)
	for _, p := range policies {
		p.(*placerPolicy).candidatesAt = expireAndRegister(p.(*placerPolicy).candidates, 5*time.Second)
	}
	got := m.run(5, policies)
	t.Logf("late or lost: %d+%d without expiry, %d+%d with expiry", baseline.late, baseline.lost, got.late, got.lost)
	if got.lost > baseline.lost || got.lateShare() > baseline.lateShare()+0.01 {
		t.Errorf("%d late and %d lost, without expiry %d and %d", got.late, got.lost, baseline.late, baseline.lost)
	}
}
