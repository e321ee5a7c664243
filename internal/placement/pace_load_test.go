package placement

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

// startModel is a model in which servers start, or come back, under load.
type startModel struct {
	model
	// zones is the number of availability zones, over which daemons and servers are spread.
	zones int
	// silent is set if all reports are lost.
	silent bool
	// halfCut is set if half of the daemons hear no report of the other half.
	halfCut bool
}

// startPolicy is what the daemons do about servers that have started.
type startPolicy struct {
	paced bool
	// cold is set if registrations state how long servers are cold. Without paces, the
	// placement assumes the fixed coldSlowness of such servers.
	cold bool
}

// starting describes how the servers that have started were loaded.
type starting struct {
	outcome
	// rejected is the number of requests that came to a starting server whose queue was full.
	rejected int
	// busiest is the greatest number of requests that one of them had at once.
	busiest int
	// firstSecond and secondSecond are the requests that they got in these seconds, as a
	// fraction of their part of the whole load.
	firstSecond, secondSecond float64
}

const (
	// maxModelRows is the number of paces that fit into a report.
	maxModelRows = 8
	// crossZoneRounds is the number of rounds of reports in the own zone for each to another.
	crossZoneRounds = 5
)

// startDaemon is one daemon of a startModel.
type startDaemon struct {
	*placerPolicy
	m      *startModel
	index  int
	random *rand.Rand
	// appliesAt is when the daemon learns of the servers that start.
	appliesAt     time.Time
	before, after *directory.Directory
	applied       *directory.Directory
	rounds        int
	policy        startPolicy
}

func (d *startDaemon) apply(now time.Time) {
	next := d.before
	if !now.Before(d.appliesAt) {
		next = d.after
	}
	if next != d.applied {
		d.applied, d.candidates = next, next.Candidates("p")
		if d.policy.paced {
			d.placer.applyAt(next, now)
		}
	}
}

func (d *startDaemon) choose(key uint64, now time.Time) (int, func(time.Time, bool), func()) {
	d.apply(now)
	s, ticket := d.placer.Choose(Request{Route: d.route, Candidates: d.candidates, Now: now})
	return int(s.Number) - 1, func(end time.Time, _ bool) {
		d.placer.MarkRequestSent(ticket, now)
		d.placer.Done(ticket, end)
	}, func() { d.placer.Fail(ticket, now.Add(time.Second)) }
}

// report sends a report to one random daemon of the own zone, and at times to one of another.
// Small fleets report to all.
func (d *startDaemon) report(all []policy, self int, now time.Time) {
	d.apply(now)
	d.placer.ExpirePeers(now)
	d.rounds++
	if d.m.silent {
		return
	}
	if len(all) <= 8 {
		for i := range all {
			d.reportTo(all[i].(*startDaemon), now)
		}
		return
	}
	perZone := len(all) / d.m.zones
	d.reportTo(all[d.index%d.m.zones+d.m.zones*d.random.IntN(perZone)].(*startDaemon), now)
	if d.rounds%crossZoneRounds == 0 {
		d.reportTo(all[d.random.IntN(len(all))].(*startDaemon), now)
	}
}

func (d *startDaemon) reportTo(to *startDaemon, now time.Time) {
	if to == d || d.m.halfCut && to.index/d.m.zones%2 != d.index/d.m.zones%2 {
		return
	}
	to.apply(now)
	to.placer.SetPeerLoad(fmt.Sprint(d.index), d.placer.Load(now), now)
	var r evidence.Report
	d.placer.AddTo(&r, true, now)
	r.Paces = r.Paces[:min(maxModelRows, len(r.Paces))]
	to.placer.Record(evidence.Peer{}, r, now)
}

// server returns the registration of a server as it is from the start of the model, or as
// it is after its start.
func (m *startModel) server(i int, restarted bool, p startPolicy) *directory.Server {
	s := &directory.Server{
		Name: fmt.Sprintf("s-%03d", i), Number: uint64(i + 1), Cookie: directory.Cookie(i + 1), Pool: "p", Zone: fmt.Sprint(i % m.zones),
		Slots: modelSlots, CreateRevision: 1, Endpoint: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	if restarted {
		s.CreateRevision, s.ReadAt = 2, epoch.Add(m.startAt)
		if p.cold {
			s.ColdFor = m.coldFor
		}
	}
	return s
}

// directories returns the directories before and after the start.
func (m *startModel) directories(p startPolicy) (before, after *directory.Directory) {
	b := directory.NewBuilder()
	changes := []directory.Change{{Config: &directory.Config{Version: 1}}}
	for i := range m.daemons {
		changes = append(changes, directory.Change{VM: &directory.VM{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % m.zones), Addr: daemonAddr(i)}})
	}
	var restarts []directory.Change
	for i := range m.servers {
		if !m.started(i) {
			changes = append(changes, directory.Change{Server: m.server(i, false, p)})
			continue
		}
		restarts = append(restarts, directory.Change{Server: m.server(i, true, p)})
	}
	b.Apply(changes, directory.Position{Revision: 1}, epoch)
	before = b.Build()
	b.Apply(restarts, directory.Position{Revision: 2}, epoch)
	return before, b.Build()
}

func daemonAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i%250 + 1)})
}

// play runs the model with one policy.
func (m startModel) play(seed uint64, p startPolicy) starting {
	var out starting
	random := rand.New(rand.NewPCG(seed, 2))
	before, after := m.directories(p)
	var policies []policy
	for d := range m.daemons {
		placer := New(fmt.Sprint(d%m.zones), seed+uint64(d))
		if p.paced {
			placer.SetPace(PaceOptions{Self: daemonAddr(d), DirectoryAge: currentDirectory})
		}
		base := &placerPolicy{placer: placer, route: &directory.Route{Name: "r", TargetLatency: m.target}}
		policies = append(policies, &startDaemon{
			placerPolicy: base, m: &m, index: d, random: random, before: before, after: after, policy: p,
			appliesAt: epoch.Add(m.startAt + time.Duration(random.Int64N(int64(200*time.Millisecond)))),
		})
	}
	count, seconds := 0, [2]int{}
	m.observe = func(server int, now time.Duration, busy int) {
		if !m.started(server) {
			return
		}
		count++
		out.busiest = max(out.busiest, busy+1)
		if busy >= modelSlots+modelQueueLimit {
			out.rejected++
		}
		if second := int((now - m.startAt) / time.Second); now >= m.startAt && second < len(seconds) {
			seconds[second]++
		}
	}
	out.outcome = m.run(seed, policies)
	startedServers := 0
	for i := range m.servers {
		if m.started(i) {
			startedServers++
		}
	}
	fair := m.requestsPerSecond * float64(startedServers) / float64(m.servers)
	out.firstSecond, out.secondSecond = float64(seconds[0])/fair, float64(seconds[1])/fair
	return out
}

// playSeeds plays the model with a number of seeds and returns the sums of the counts and the
// means of the parts.
func (m startModel) playSeeds(seeds uint64, p startPolicy) (out starting) {
	for seed := range seeds {
		s := m.play(seed, p)
		out.inTarget, out.late, out.lost = out.inTarget+s.inTarget, out.late+s.late, out.lost+s.lost
		out.rejected, out.busiest = out.rejected+s.rejected, max(out.busiest, s.busiest)
		out.firstSecond += s.firstSecond / float64(seeds)
		out.secondSecond += s.secondSecond / float64(seeds)
	}
	return out
}

func (s starting) String() string {
	return fmt.Sprintf("%6d in target %5d late %4d lost; started servers: %4d rejected, busiest %2d, share %.2f %.2f",
		s.inTarget, s.late, s.lost, s.rejected, s.busiest, s.firstSecond, s.secondSecond)
}

// Policies for servers that have started.
var (
	unpaced = startPolicy{}
	fixed   = startPolicy{cold: true}
	paced   = startPolicy{paced: true, cold: true}
)

// startCases are the situations in which servers start, at a load given as a part of what
// all servers can do when they are warm.
var startCases = map[string]struct {
	load    float64
	started func(server, servers int) bool
}{
	"one server starts":             {0.85, func(i, _ int) bool { return i == 4 }},
	"a zone returns cold":           {0.85, func(i, _ int) bool { return i%3 == 1 }},
	"half of the servers, released": {0.85, func(i, _ int) bool { return i%2 == 1 }},
	"scale-out":                     {0.85, func(i, n int) bool { return i >= n*3/4 }},
	"whole pool but one server":     {0.3, func(i, _ int) bool { return i > 0 }},
}

func newStartModel(daemons, servers int, load float64, started func(server, servers int) bool) startModel {
	const serviceTime, meanSpeed = 43 * time.Millisecond, 1.033
	capacity := float64(servers) * modelSlots * meanSpeed / serviceTime.Seconds()
	return startModel{zones: 3, model: model{
		daemons: daemons, servers: servers, speeds: []float64{0.7, 0.7, 1.7}, requestsPerSecond: load * capacity, serviceTime: serviceTime,
		target: 300 * time.Millisecond, started: func(i int) bool { return started(i, servers) },
		startAt: time.Second, coldFor: 2 * time.Second, coldFactor: 1.6, duration: 3500 * time.Millisecond,
	}}
}

// Guards against a pace that floods servers that have started, leaves them idle, or serves
// callers worse than a fixed slowness or nothing does. The load that it answers: servers start
// under load, in fleets in which each daemon knows little of what the others do.
func TestStartedServersAreLoadedAsTheyAnswer(t *testing.T) {
	for _, fleet := range []struct {
		daemons, servers int
		seeds            uint64
		cases            []string
	}{
		{8, 14, 5, []string{"one server starts", "a zone returns cold", "half of the servers, released", "scale-out", "whole pool but one server"}},
		{62, 120, 1, []string{"one server starts", "a zone returns cold", "half of the servers, released", "scale-out", "whole pool but one server"}},
		{109, 120, 1, []string{"a zone returns cold"}},
	} {
		for _, name := range fleet.cases {
			t.Run(fmt.Sprintf("%d daemons, %s", fleet.daemons, name), func(t *testing.T) {
				t.Parallel()
				c := startCases[name]
				m := newStartModel(fleet.daemons, fleet.servers, c.load, c.started)
				got, nothing, before := m.playSeeds(fleet.seeds, paced), m.playSeeds(fleet.seeds, unpaced), m.playSeeds(fleet.seeds, fixed)
				t.Logf("paced          %s", got)
				t.Logf("nothing        %s", nothing)
				t.Logf("fixed slowness %s", before)
				const tolerance = 0.005
				if got.lateShare() > min(nothing.lateShare(), before.lateShare())+tolerance {
					t.Errorf("%.4f late or lost, %.4f with nothing, %.4f with a fixed slowness", got.lateShare(), nothing.lateShare(), before.lateShare())
				}
				if got.rejected > nothing.rejected+int(tolerance*float64(got.inTarget)) {
					t.Errorf("%d requests came to full servers that had started, %d with nothing", got.rejected, nothing.rejected)
				}
				if m.daemons >= 13 && got.secondSecond < nothing.secondSecond/2 {
					t.Errorf("started servers had %.2f of their share after a second, %.2f with nothing", got.secondSecond, nothing.secondSecond)
				}
			})
		}
	}
}

// Guards against paces that depend on reports: if all are lost, or the fleet is cut in two,
// callers are served as well as without paces, and started servers get their share.
func TestStartedServersWithoutReports(t *testing.T) {
	for name, set := range map[string]func(m *startModel){
		"no reports":       func(m *startModel) { m.silent = true },
		"fleet cut in two": func(m *startModel) { m.halfCut = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCases["a zone returns cold"]
			m := newStartModel(62, 120, 0.6, c.started)
			set(&m)
			got, nothing := m.play(1, paced), m.play(1, unpaced)
			t.Logf("paced   %s", got)
			t.Logf("nothing %s", nothing)
			if got.lateShare() > nothing.lateShare()+0.005 || got.secondSecond < nothing.secondSecond/2 {
				t.Errorf("paced: %v; nothing: %v", got, nothing)
			}
		})
	}
}
