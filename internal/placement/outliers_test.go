package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

// poolOf returns servers of one pool in zone "a".
func poolOf(n int) []*directory.Server {
	var out []*directory.Server
	for i := range n {
		out = append(out, &directory.Server{Cookie: directory.Cookie(i + 1), Pool: "p", Zone: "a", Slots: modelSlots, Started: 1})
	}
	return out
}

// judged returns outliers that have judged a pool after the given requests on each server.
func judged(servers []*directory.Server, add func(o *evidence.OutcomeTally)) (*outliers, *evidence.OutcomeTally) {
	o, tally := newOutliers(), evidence.NewOutcomeTally("a", nil)
	o.source = tally
	add(tally)
	o.judge(servers, epoch)
	return o, tally
}

func addRequests(o *evidence.OutcomeTally, c directory.Cookie, timely, failed int) {
	for range timely {
		o.Add(c, evidence.Timely, epoch)
	}
	for range failed {
		o.Add(c, evidence.Failed, epoch)
	}
}

// Guards against a server that fails requests at once and seems free and fast: its failed
// request counts as in progress for the usual time, and its slowness stays.
func TestAFailedRequestMakesNoServerFast(t *testing.T) {
	is := is.New(t)
	p := New("a", 1)
	r := Request{Route: &directory.Route{Name: "r"}, Candidates: poolOf(1), Now: epoch}
	for range 3 {
		_, ticket := p.Choose(r)
		p.MarkRequestSent(ticket, epoch)
		p.Done(ticket, epoch.Add(initialServiceTime))
	}
	slowness := p.state(1).slowness
	_, ticket := p.Choose(r)
	p.MarkRequestSent(ticket, epoch)
	p.Fail(ticket, epoch.Add(time.Millisecond))
	is.Equal(p.Load(epoch.Add(initialServiceTime / 2)).InProgress[1], 1)
	is.Equal(p.Load(epoch.Add(initialServiceTime)).InProgress[1], 0)
	is.Equal(p.state(1).slowness, slowness)
}

// Guards against taking out more than a bounded part of a pool, and against condemning
// servers for too few requests or on the word of one peer.
func TestServersAreJudgedWithCare(t *testing.T) {
	peer := evidence.Peer{Zone: "a"}
	for name, c := range map[string]struct {
		add  func(o *evidence.OutcomeTally)
		want int
	}{
		"a failing server": {func(o *evidence.OutcomeTally) { addRequests(o, 1, 10, 10) }, 1},
		"few requests":     {func(o *evidence.OutcomeTally) { addRequests(o, 1, 0, 2) }, 0},
		"as many failures as elsewhere": {func(o *evidence.OutcomeTally) {
			for c := range directory.Cookie(10) {
				addRequests(o, c+1, 10, 10)
			}
		}, 0},
		"the word of one peer": {func(o *evidence.OutcomeTally) {
			o.Record(peer, evidence.Report{Outcomes: []evidence.Outcomes{{Server: 1, Failed: 1000}}}, epoch)
		}, 0},
		"too many to take out": {func(o *evidence.OutcomeTally) {
			for c := range directory.Cookie(4) {
				addRequests(o, c+1, 0, 20)
			}
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := poolOf(10)
			o, _ := judged(servers, func(o *evidence.OutcomeTally) {
				for _, s := range servers {
					addRequests(o, s.Cookie, 10, 0)
				}
				c.add(o)
			})
			is.Equal(len(o.failing), c.want)
		})
	}
}

// Guards against judging a server by what its former process did.
func TestARestartedServerIsNotJudgedByItsPast(t *testing.T) {
	is := is.New(t)
	servers := poolOf(10)
	o, tally := judged(servers, func(o *evidence.OutcomeTally) {
		for _, s := range servers {
			addRequests(o, s.Cookie, 10, 0)
		}
		addRequests(o, 1, 0, 20)
	})
	is.Equal(len(o.failing), 1)
	restarted := *servers[0]
	restarted.Started++
	servers[0] = &restarted
	now := epoch.Add(judgeInterval)
	o.judge(servers, now)
	is.Equal(len(o.failing), 0)
	is.Equal(tally.Witnessed(1, now).Total(), 0.0)
}

// Guards against a pool whose other servers are all busy or silent: a failing server is the
// last choice before the silent ones, not refused.
func TestAFailingServerIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	p := New("a", 1)
	p.outliers.failing[1] = &failingServer{excess: 1}
	servers := poolOf(2)
	route := &directory.Route{Name: "r", Timeout: time.Hour}
	for range 50 {
		s, _ := p.Choose(Request{Route: route, Candidates: servers[:1], Now: epoch})
		is.Equal(s.Cookie, servers[0].Cookie)
	}
	p = New("a", 1)
	p.outliers.failing[1] = &failingServer{excess: 1}
	p.state(2).suspectedUntil = epoch.Add(time.Second)
	s, _ := p.Choose(Request{Route: route, Candidates: servers, Now: epoch})
	is.Equal(s.Cookie, servers[0].Cookie)
}
