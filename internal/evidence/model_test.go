package evidence

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"knapweedshore.example/internal/directory"
)

const (
	modelStep = 50 * time.Millisecond
	// shareOwnZone is the share of the requests that stay in the daemon's zone.
	shareOwnZone = 0.8
)

// region is a model of daemons with real Silences, servers and callers with flows between
// them. Answers pass the daemons by, as on the platform.
type region struct {
	random    *rand.Rand
	now       time.Time
	zones     int
	daemons   []*modelDaemon
	servers   []*modelServer
	directory *directory.Directory
	age       time.Duration
	builder   *directory.Builder
	// cut[a][b] is set if packets from zone a to zone b are lost; loss is the share of lost
	// packets and reports.
	cut  [][]bool
	loss float64
	// lateReports lets reports arrive that many steps after they were sent.
	lateReports int
	requests    float64 // of a daemon in a step
	flows       []*modelFlow
}

type modelDaemon struct {
	addr        netip.Addr
	zone        int
	silences    *Silences
	frozenUntil time.Time
	pausedAt    time.Time
	pauseLength time.Duration
	inbox       []modelReport
	news        bool
	probes      []modelProbe
}

type modelReport struct {
	due    time.Time
	report Report
}

type modelProbe struct {
	server *modelServer
	due    time.Time
}

type modelServer struct {
	zone        int
	record      *directory.Server
	dead        bool
	refuses     bool // a dead server's VM refuses connections
	frozenUntil time.Time
}

type modelFlow struct {
	daemon          *modelDaemon
	server          *modelServer
	firstSent, sent time.Time
	answered        bool
	repeatIn        time.Duration
	period          uint64
}

func zoneOf(i int) string { return string(rune('a' + i)) }

func newRegion(seed uint64, zones, daemons, servers int, requestsPerServer float64) *region {
	r := &region{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), zones: zones, builder: directory.NewBuilder(),
		requests: requestsPerServer * modelStep.Seconds() * float64(servers) / float64(daemons),
	}
	r.cut = make([][]bool, zones)
	for z := range zones {
		r.cut[z] = make([]bool, zones)
	}
	changes := []directory.Change{{Config: &directory.Config{Version: 1}}}
	for i := range servers {
		s := &modelServer{zone: i % zones, record: &directory.Server{
			Name: fmt.Sprintf("s%d", i), Cookie: directory.Cookie(i + 1), Pool: "p", Zone: zoneOf(i % zones), Started: 1, ReadAt: r.now,
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80),
		}}
		r.servers = append(r.servers, s)
		changes = append(changes, directory.Change{Server: s.record})
	}
	r.apply(changes...)
	for i := range daemons {
		d := &modelDaemon{addr: netip.AddrFrom4([4]byte{10, 1, byte(i % zones), byte(i)}), zone: i % zones}
		d.silences = NewSilences(SilencesOptions{
			Self: d.addr, Zone: zoneOf(d.zone), OnNews: func() { d.news = true }, Draw: r.random.Float64,
			Directory: func(time.Time) (*directory.Directory, time.Duration) { return r.directory, r.age },
			LastPause: func(time.Time) time.Time { return d.pausedAt },
		}, r.now)
		r.daemons = append(r.daemons, d)
	}
	return r
}

func (r *region) apply(changes ...directory.Change) {
	r.builder.Apply(changes, directory.Position{}, r.now)
	r.directory = r.builder.Build()
}

func (r *region) lost() bool { return r.random.Float64() < r.loss }

// serves reports whether a packet or connection of a daemon reaches a server that runs.
func (r *region) serves(d *modelDaemon, s *modelServer) bool {
	return !s.dead && !r.now.Before(s.frozenUntil) && !r.cut[d.zone][s.zone] && !r.lost()
}

// step lets the region run for modelStep.
func (r *region) step() {
	r.now = r.now.Add(modelStep)
	for _, d := range r.daemons {
		if r.now.Before(d.frozenUntil) {
			continue
		}
		if !d.frozenUntil.IsZero() {
			d.frozenUntil, d.pausedAt = time.Time{}, r.now
		}
		r.receive(d)
		r.probe(d)
		for n := r.requests; n > r.random.Float64(); n-- {
			s := r.servers[r.random.IntN(len(r.servers))]
			if r.random.Float64() < shareOwnZone {
				s = r.servers[d.zone+r.zones*r.random.IntN(len(r.servers)/r.zones)]
			}
			if d.silences.Gone(s.record.Cookie) == "" {
				f := &modelFlow{daemon: d, server: s, firstSent: r.now, sent: r.now, repeatIn: 200 * time.Millisecond}
				f.answered = r.serves(d, s)
				r.flows = append(r.flows, f)
			}
		}
	}
	r.flows = slices.DeleteFunc(r.flows, r.advance)
	for _, d := range r.daemons {
		if r.now.Before(d.frozenUntil) {
			continue
		}
		d.silences.Judge(r.now)
		if d.news || r.now.UnixMilli()%100 == 0 {
			r.report(d)
		}
		if d.news { // news is reported every 20 ms
			d.news = false
			r.report(d)
		}
	}
}

// advance continues a flow, and reports whether its request has ended.
func (r *region) advance(f *modelFlow) bool {
	d := f.daemon
	switch {
	case r.now.Before(d.frozenUntil):
		return false
	case f.answered && r.now.After(f.sent):
		d.silences.Answered(f.server.record, f.firstSent, r.now)
		return true
	case f.answered || r.now.Sub(f.sent) < f.repeatIn:
		return false
	case d.silences.Gone(f.server.record.Cookie) != "" || r.now.Sub(f.firstSent) > 4*time.Second:
		return true
	}
	f.period = d.silences.Repeated(f.server.record, f.period, f.sent, r.now)
	f.sent, f.repeatIn = r.now, min(1600*time.Millisecond, 2*f.repeatIn)
	f.answered = r.serves(d, f.server)
	return false
}

// report sends a daemon's report to four daemons of its zone and one of another.
func (r *region) report(d *modelDaemon) {
	var own, others []*modelDaemon
	for _, i := range r.random.Perm(len(r.daemons)) {
		switch to := r.daemons[i]; {
		case to == d:
		case to.zone == d.zone && len(own) < 4:
			own = append(own, to)
		case to.zone != d.zone && len(others) < 1:
			others = append(others, to)
		}
	}
	var out Report
	for i, to := range append(own, others...) {
		if i == 0 || i == len(own) {
			out = Report{}
			d.silences.AddTo(&out, i == 0, r.now)
		}
		if !r.cut[d.zone][to.zone] && !r.lost() {
			to.inbox = append(to.inbox, modelReport{r.now.Add(time.Duration(r.lateReports) * modelStep), out})
			if !r.now.Before(to.frozenUntil) {
				r.receive(to)
			}
		}
	}
}

func (r *region) receive(d *modelDaemon) {
	d.inbox = slices.DeleteFunc(d.inbox, func(m modelReport) bool {
		if m.due.After(r.now) {
			return false
		}
		sentAt := r.now
		if d.pausedAt.Equal(r.now) {
			sentAt = sentAt.Add(-d.pauseLength)
		}
		d.silences.Record(Peer{}, m.report, sentAt)
		return true
	})
}

func (r *region) probe(d *modelDaemon) {
	for _, record := range d.silences.DueProbes(r.now) {
		d.probes = append(d.probes, modelProbe{r.servers[record.Cookie-1], r.now.Add(ConnectTimeout)})
	}
	d.probes = slices.DeleteFunc(d.probes, func(p modelProbe) bool {
		ok := r.serves(d, p.server)
		if !ok && r.now.Before(p.due) {
			return false
		}
		result := ProbeTimeout
		if p.server.dead && p.server.refuses && !r.cut[d.zone][p.server.zone] {
			result = ProbeRefused
		}
		d.silences.Probed(p.server.record, ok, result, r.now)
		return true
	})
}

// judgedBy returns the number of daemons for which a server is gone.
func (r *region) judgedBy(s *modelServer) int {
	n := 0
	for _, d := range r.daemons {
		if d.silences.Gone(s.record.Cookie) != "" {
			n++
		}
	}
	return n
}

// Guards against requests that wait for their deadline on a server that has ended, for fleets
// of different size, with some reports and packets lost, and with a quarter of the servers
// ending at once: a caller with a deadline of 2 s needs its reset within 1.2 s.
func TestDeadServersAreJudgedInTime(t *testing.T) {
	for _, c := range []struct {
		daemons, servers, dead int
		requests, loss         float64
	}{
		{6, 12, 1, 12, 0}, {6, 12, 3, 12, 0}, {36, 60, 1, 12, 0.02}, {36, 60, 15, 12, 0}, {108, 120, 30, 12, 0.02},
	} {
		for _, refuses := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d daemons, %d of %d servers dead, refuses %t", c.daemons, c.dead, c.servers, refuses), func(t *testing.T) {
				judged, daemons, waited := 0, 0, time.Duration(0)
				days := max(1, 150/c.daemons)
				for seed := range uint64(days) {
					r := newRegion(seed, 3, c.daemons, c.servers, c.requests)
					r.loss = c.loss
					for range 40 {
						r.step()
					}
					for _, s := range r.servers[:c.dead] {
						s.dead, s.refuses = true, refuses
					}
					for died := r.now; r.now.Sub(died) < 1200*time.Millisecond; {
						r.step()
						for _, s := range r.servers[:c.dead] {
							if n, zone := r.judgedInZone(s); n < zone/2 {
								waited += modelStep
							}
						}
					}
					for _, s := range r.servers[:c.dead] {
						n, zone := r.judgedInZone(s)
						judged, daemons = judged+n, daemons+zone
					}
				}
				share := float64(judged) / float64(daemons)
				mean := waited / time.Duration(days*c.dead)
				t.Logf("judged by %.3f of the zone's daemons after 1.2 s, by half of them after %s", share, mean)
				if share < 0.8 || mean > time.Second {
					t.Errorf("judged by %.3f of the zone's daemons, want 0.8; by half of them after %s, want 1s", share, mean)
				}
			})
		}
	}
}

// judgedInZone returns for how many daemons of its own zone a server is gone, and their number.
// They have most of the flows to it.
func (r *region) judgedInZone(s *modelServer) (judged, daemons int) {
	for _, d := range r.daemons {
		if d.zone != s.zone {
			continue
		}
		daemons++
		if d.silences.Gone(s.record.Cookie) != "" {
			judged++
		}
	}
	return judged, daemons
}

// Guards against resets on flows of servers that live: while a zone is cut off in one or both
// directions, packets and reports are lost or late, daemons or servers freeze for a moment, and
// registrations lapse with the store, in any mix and also while other servers have ended.
func TestLivingServersAreNeverJudgedGone(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() {
		seeds = 9
	}
	for seed := range seeds {
		r := newRegion(seed, 3, 12+24*int(seed%3), 30, []float64{1, 6, 20}[seed/3%3])
		var trouble []string
		add := func(what string) { trouble = append(trouble, what) }
		starts := r.now.Add(2 * time.Second)
		for r.now.Before(starts) {
			r.step()
		}
		if r.random.IntN(2) == 0 {
			r.loss = 0.15 * r.random.Float64()
			add(fmt.Sprintf("loss %.2f", r.loss))
		}
		if r.random.IntN(3) == 0 {
			r.lateReports = 1 + r.random.IntN(6)
			add(fmt.Sprintf("reports late by %d steps", r.lateReports))
		}
		cutSteps := 4 + r.random.IntN(1+r.random.IntN(100))
		if z := r.random.IntN(6); z < r.zones {
			kind := r.random.IntN(3)
			for other := range r.zones {
				if other != z {
					r.cut[z][other], r.cut[other][z] = kind != 1, kind != 2
				}
			}
			add(fmt.Sprintf("zone %s cut for %d steps, kind %d", zoneOf(z), cutSteps, kind))
		}
		if r.random.IntN(3) == 0 {
			for _, s := range r.servers[:3] {
				s.dead = true
			}
			add("three servers dead")
		}
		lapse := r.random.IntN(3) == 0
		if lapse {
			add("registrations lapse")
		}
		for step := range 160 {
			if lapse {
				r.lapse(step)
			}
			if r.random.IntN(20) == 0 {
				d := r.daemons[r.random.IntN(len(r.daemons))]
				d.pauseLength = time.Duration(700+r.random.IntN(2000)) * time.Millisecond
				d.frozenUntil = r.now.Add(d.pauseLength)
			}
			if s := r.servers[r.random.IntN(len(r.servers))]; r.random.IntN(10) == 0 && r.now.Sub(s.frozenUntil) > time.Second {
				s.frozenUntil = r.now.Add(400 * time.Millisecond)
			}
			if step == cutSteps {
				for z := range r.zones {
					clear(r.cut[z])
				}
			}
			r.step()
			for _, s := range r.servers {
				if n := r.judgedBy(s); !s.dead && n > 0 {
					t.Fatalf("seed %d (%v): %d daemons take %s for gone after %d steps", seed, trouble, n, s.record.Name, step)
				}
			}
		}
	}
}

// lapse lets all registrations vanish while the store is away, and come back within 2 s of
// its return.
func (r *region) lapse(step int) {
	switch {
	case step == 20:
		var changes []directory.Change
		for _, s := range r.servers {
			changes = append(changes, directory.Change{Deleted: s.record.Name})
		}
		r.apply(changes...)
	case step == 40: // the store is back
		r.age = 0
	case step > 20 && step < 40:
		r.age += modelStep
	case step > 40 && step < 80 && step-41 < len(r.servers):
		s := r.servers[step-41]
		if !s.dead {
			back := *s.record
			back.ReadAt = r.now
			r.apply(directory.Change{Server: &back})
		}
	}
	if r.builder.Expire(r.now, r.now.Add(-r.age)) {
		r.directory = r.builder.Build()
	}
}
