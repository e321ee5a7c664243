package evidence

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
)

var epoch = time.Unix(1000, 0)

// Guards against a verdict without sufficient evidence, and against one that is missed.
func TestJudge(t *testing.T) {
	registered := directory.Server{Name: "s", Zone: "a", Started: 1}
	missing := registered
	missing.MissingSince, missing.Retired = epoch.Add(-6*time.Second), true
	draining := missing
	draining.Draining, draining.MissingSince = true, epoch.Add(-time.Second)
	lost := registered
	lost.MissingSince, lost.LostByRestore = missing.MissingSince, true
	successor := &directory.Server{Name: "t", Started: 2, ReadAt: epoch.Add(-time.Second)}
	statement := func(zone string, flows int, probe Probe) Statement {
		return Statement{Zone: ZoneIDOf(zone), Since: epoch.Add(-minSilence), At: epoch, Flows: flows, Probe: probe}
	}
	outdated := statement("a", 3, ProbeTimeout)
	outdated.At, outdated.Since = epoch.Add(-2*time.Second), epoch.Add(-4*time.Second)
	brief := statement("a", 3, ProbeTimeout)
	brief.Since = epoch.Add(-minSilence + time.Millisecond)
	others := func(list ...Statement) map[DaemonID]Statement {
		m := map[DaemonID]Statement{}
		for i, s := range list {
			m[DaemonID(i+1)] = s
		}
		return m
	}
	for name, c := range map[string]struct {
		facts Facts
		want  Reason
	}{
		"silent to two daemons of its zone":                   {Facts{Server: &registered, Others: others(statement("a", 2, ProbeTimeout), statement("a", 1, ProbeNone))}, Silent},
		"silent to two daemons, one in another zone":          {Facts{Server: &registered, Own: statement("b", 2, ProbeTimeout), Others: others(statement("a", 1, ProbeNone))}, Silent},
		"silent to two other zones":                           {Facts{Server: &registered, Others: others(statement("b", 2, ProbeTimeout), statement("c", 1, ProbeNone))}, Silent},
		"silent to a single other zone":                       {Facts{Server: &registered, Others: others(statement("b", 2, ProbeTimeout), statement("b", 9, ProbeNone))}, ""},
		"silent to one daemon":                                {Facts{Server: &registered, Own: statement("a", 9, ProbeTimeout)}, ""},
		"silent to too few flows":                             {Facts{Server: &registered, Own: statement("a", 1, ProbeTimeout), Others: others(statement("a", 1, ProbeNone))}, ""},
		"not probed":                                          {Facts{Server: &registered, Others: others(statement("a", 2, ProbeNone), statement("a", 2, ProbeNone))}, ""},
		"silent for a moment":                                 {Facts{Server: &registered, Others: others(statement("a", 2, ProbeTimeout), brief)}, ""},
		"outdated statement":                                  {Facts{Server: &registered, Others: others(statement("a", 2, ProbeTimeout), outdated)}, ""},
		"heard since":                                         {Facts{Server: &registered, HeardAt: epoch.Add(-minSilence), Others: others(statement("a", 2, ProbeTimeout), statement("a", 1, ProbeNone))}, ""},
		"no report of a peer":                                 {Facts{Server: &registered, ReportedAt: epoch.Add(-time.Second), Others: others(statement("a", 2, ProbeTimeout), statement("a", 1, ProbeNone))}, ""},
		"doubted just now":                                    {Facts{Server: &registered, DoubtedAt: epoch, Others: others(statement("a", 2, ProbeTimeout), statement("a", 1, ProbeNone))}, ""},
		"refuses connections of this daemon":                  {Facts{Server: &registered, Own: statement("a", 1, ProbeRefused)}, ConnectionRefused},
		"refuses connections, as a peer says":                 {Facts{Server: &registered, Others: others(statement("a", 1, ProbeRefused))}, ""},
		"refuses connections, but serves its flows":           {Facts{Server: &registered, Own: statement("a", 0, ProbeRefused)}, ""},
		"registration missing":                                {Facts{Server: &missing}, ""},
		"registration missing and probed":                     {Facts{Server: &missing, Others: others(statement("b", 0, ProbeTimeout))}, RegistrationGone},
		"registration missing, store just back":               {Facts{Server: &missing, FreshSince: epoch.Add(-5 * time.Second), Own: statement("a", 0, ProbeTimeout)}, ""},
		"registration missing, heard since":                   {Facts{Server: &missing, HeardAt: epoch.Add(-5 * time.Second), Own: statement("a", 0, ProbeTimeout)}, ""},
		"registration lost by a restore":                      {Facts{Server: &lost, Own: statement("a", 0, ProbeTimeout)}, ""},
		"drained and left":                                    {Facts{Server: &draining, Own: statement("a", 0, ProbeRefused)}, RegistrationGone},
		"drained, and its registration lapsed":                {Facts{Server: &draining, Own: statement("a", 0, ProbeTimeout)}, ""},
		"address taken":                                       {Facts{Server: &missing, Successor: successor}, AddressTaken},
		"address taken, but still registered":                 {Facts{Server: &registered, Successor: successor}, ""},
		"address taken, still registered and silent":          {Facts{Server: &registered, Successor: successor, Own: statement("a", 1, ProbeNone)}, AddressTaken},
		"address claimed by another, but the server is heard": {Facts{Server: &missing, HeardAt: epoch, Successor: successor}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := c.facts
			if f.DoubtedAt.IsZero() {
				f.DoubtedAt = epoch.Add(-time.Second)
			}
			if f.ReportedAt.IsZero() {
				f.ReportedAt = epoch
			}
			if f.FreshSince.IsZero() {
				f.FreshSince = epoch.Add(-time.Minute)
			}
			is.New(t).Equal(Judge(f, epoch), c.want)
		})
	}
}

// observer is a daemon with Silences in a pool of servers.
type observer struct {
	*Silences
	directory *directory.Directory
	pausedAt  time.Time
	now       time.Time
}

func newObserver(servers int) *observer {
	o := &observer{now: epoch}
	b := directory.NewBuilder()
	changes := []directory.Change{{Config: &directory.Config{}}}
	for i := range servers {
		changes = append(changes, directory.Change{Server: &directory.Server{Name: fmt.Sprint(i), Cookie: directory.Cookie(i + 1), Pool: "p", Zone: "a", Started: 1}})
	}
	b.Apply(changes, directory.Position{}, epoch)
	o.directory = b.Build()
	o.Silences = NewSilences(SilencesOptions{
		Self: netip.MustParseAddr("10.0.0.1"), Zone: "a", OnNews: func() {}, Draw: func() float64 { return 1 },
		Directory: func(time.Time) (*directory.Directory, time.Duration) { return o.directory, 0 },
		LastPause: func(time.Time) time.Time { return o.pausedAt },
	}, epoch)
	return o
}

// change changes the registration of the server with cookie 1.
func (o *observer) change(fn func(s *directory.Server)) {
	s := *o.directory.ByCookie(1)
	s.ReadAt = o.now
	fn(&s)
	b := directory.NewBuilder()
	changes := []directory.Change{{Config: &directory.Config{}}, {Server: &s}}
	for c := directory.Cookie(2); o.directory.ByCookie(c) != nil; c++ {
		changes = append(changes, directory.Change{Server: o.directory.ByCookie(c)})
	}
	b.Apply(changes, directory.Position{}, epoch)
	o.directory = b.Build()
}

// claim records a peer's report that a server is silent, with two invented witnesses.
func (o *observer) claim(c directory.Cookie, silentFor time.Duration) {
	var r Report
	for w := range DaemonID(2) {
		r.Silences = append(r.Silences, Silence{Server: c, Witness: w + 1, Zone: ZoneIDOf("a"), SilentFor: silentFor, Flows: 100, Probe: ProbeRefused})
	}
	o.Record(Peer{}, r, o.now)
}

// Guards against a peer that claims that all servers are dead, and against statements about
// servers that nobody knows, which would take memory.
func TestClaimsOfAPeerAreBounded(t *testing.T) {
	is := is.New(t)
	o := newObserver(10)
	for range 20 {
		o.now = o.now.Add(100 * time.Millisecond)
		for c := range directory.Cookie(1000) {
			o.claim(c, 800*time.Millisecond+o.now.Sub(epoch))
		}
		o.Judge(o.now)
	}
	is.Equal(o.GoneCount(), 5)
	is.Equal(len(o.servers), 10)
	for w := range DaemonID(1000) {
		o.Record(Peer{}, Report{Silences: []Silence{{Server: 1, Witness: w, SilentFor: time.Second}}}, o.now)
	}
	is.True(len(o.servers[1].others) <= maxWitnesses)
}

// Guards against a verdict that outlives a proof of life from any daemon, or its evidence.
func TestVerdictEnds(t *testing.T) {
	for name, end := range map[string]func(o *observer){
		"a peer has heard of it": func(o *observer) {
			o.Record(Peer{}, Report{Heard: []Heard{{Server: 1, Age: 10 * time.Millisecond}}}, o.now)
		},
		"an answer":                  func(o *observer) { o.Answered(o.directory.ByCookie(1), time.Time{}, o.now) },
		"a new process under its id": func(o *observer) { o.change(func(s *directory.Server) { s.Started++ }) },
		"time":                       func(o *observer) { o.now = o.now.Add(verdictTTL) },
		"a pause of the daemon":      func(o *observer) { o.pausedAt = o.now },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newObserver(3)
			for range 10 {
				o.now = o.now.Add(100 * time.Millisecond)
				o.claim(1, 500*time.Millisecond+o.now.Sub(epoch))
				o.Judge(o.now)
			}
			is.Equal(o.Gone(1), Silent)
			o.now = o.now.Add(100 * time.Millisecond)
			end(o)
			changes := o.Judge(o.now)
			is.Equal(len(changes), 1)
			is.Equal(changes[0].Reason, Reason(""))
			is.Equal(o.GoneCount(), 0)
		})
	}
}

// Guards against a verdict that ends because a slow store delivers what the server wrote
// before it ended.
func TestLateChangeOfARegistrationProvesNothing(t *testing.T) {
	is := is.New(t)
	o := newObserver(3)
	for range 10 {
		o.now = o.now.Add(100 * time.Millisecond)
		o.claim(1, 500*time.Millisecond+o.now.Sub(epoch))
		o.Judge(o.now)
	}
	o.now = o.now.Add(time.Second)
	o.change(func(s *directory.Server) { s.Revision++ })
	is.Equal(len(o.Judge(o.now)), 0)
	is.Equal(o.Gone(1), Silent)
}

// Guards against daemons that keep an old statement alive by telling it to each other, since
// each message makes it appear a little later.
func TestCopiesOfAStatementAreNotDatedAnew(t *testing.T) {
	is := is.New(t)
	o := newObserver(3)
	row := Silence{Server: 1, Witness: 7, SilentFor: time.Second, Flows: 2}
	for range 30 {
		o.now = o.now.Add(100 * time.Millisecond)
		o.Record(Peer{}, Report{Silences: []Silence{row}}, o.now)
	}
	is.Equal(o.servers[1].others[7].At, epoch.Add(100*time.Millisecond))
	row.SilentFor += 2 * time.Second
	o.Record(Peer{}, Report{Silences: []Silence{row}}, o.now)
	is.Equal(o.servers[1].others[7].At, o.now)
}

// Guards against news that does not spread because a report has room for a few entries.
func TestEachStatementIsReportedInTurn(t *testing.T) {
	is := is.New(t)
	o := newObserver(50)
	for c := range directory.Cookie(50) {
		o.claim(c+1, time.Second)
	}
	seen := map[Silence]bool{}
	for range 100 / MaxReportedSilences {
		var r Report
		o.AddTo(&r, true, o.now)
		is.Equal(len(r.Silences), MaxReportedSilences)
		for _, s := range r.Silences {
			seen[s] = true
		}
	}
	is.Equal(len(seen), 100)
}
