package evidence

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
)

var (
	start = time.Unix(0, 0)
	peerA = Peer{Addr: netip.MustParseAddr("10.0.0.1"), Zone: "a"}
	peerB = Peer{Addr: netip.MustParseAddr("10.0.0.2"), Zone: "a"}
)

func reportOf(rows ...Outcomes) Report { return Report{Outcomes: rows} }

// Guards against sums that depend on the order of reports, count a repeated report twice,
// or go back when an older report arrives late.
func TestReportsMergeInAnyOrder(t *testing.T) {
	is := is.New(t)
	older, newer := start, start.Add(time.Second)
	a1, a2 := reportOf(Outcomes{Server: 1, Timely: 8, Failed: 8}), reportOf(Outcomes{Server: 1, Timely: 16, Failed: 16})
	b := reportOf(Outcomes{Server: 1, Timely: 24, Failed: 16})
	forwards, backwards := NewOutcomeTally("a", nil), NewOutcomeTally("a", nil)
	forwards.Record(peerA, a1, older)
	forwards.Record(peerA, a2, newer)
	forwards.Record(peerB, b, newer)
	backwards.Record(peerB, b, newer)
	backwards.Record(peerA, a2, newer)
	backwards.Record(peerA, a2, newer)
	backwards.Record(peerA, a1, older)
	want := Witnessed{Sums: Sums{Timely: 5, Failed: 4}, Reporters: 3, Witnesses: 2}
	is.Equal(forwards.Witnessed(1, newer), want)
	is.Equal(backwards.Witnessed(1, newer), want)
	is.Equal(forwards.Daemons(newer), 3)
}

// Guards against a server that is judged by what its former process did, also by reports
// that were under way when it was replaced.
func TestOutcomesOfAFormerProcessAreForgotten(t *testing.T) {
	is := is.New(t)
	o := NewOutcomeTally("a", nil)
	o.Add(1, Failed, start)
	o.Record(peerA, reportOf(Outcomes{Server: 1, Failed: 80}), start)
	o.Forget(1, start)
	o.Record(peerB, reportOf(Outcomes{Server: 1, Failed: 80}), start.Add(forgetTime/2))
	is.Equal(o.Witnessed(1, start.Add(forgetTime/2)).Sums, Sums{})
}

// Guards against reports that grow with the number of servers when all is well, that omit
// the timely requests on a server of which others have seen failures, or that carry what is
// seen in one zone to another.
func TestReportNamesTheServersThatFailMost(t *testing.T) {
	is := is.New(t)
	o := NewOutcomeTally("a", nil)
	for c := range directory.Cookie(100) {
		o.Add(c, Timely, start)
	}
	var r Report
	o.AddTo(&r, true, start)
	is.Equal(len(r.Outcomes), 0)
	o.Record(peerA, reportOf(Outcomes{Server: 7, Failed: 8}, Outcomes{Server: 9, Failed: 16}, Outcomes{Server: 8, Failed: 80}), start)
	o.Record(peerB, reportOf(Outcomes{Server: 7, Failed: 8}, Outcomes{Server: 9, Failed: 16}), start)
	o.Record(Peer{Addr: netip.MustParseAddr("10.0.0.3"), Zone: "b"}, reportOf(Outcomes{Server: 8, Failed: 80}), start)
	o.AddTo(&r, true, start)
	is.Equal(r.Outcomes, []Outcomes{{Server: 9, Timely: outcomeScale}, {Server: 7, Timely: outcomeScale}})
	r = Report{}
	o.AddTo(&r, false, start)
	is.Equal(len(r.Outcomes), 0)
}

// Guards against a peer that claims absurd numbers, tells of servers that nobody knows, fills
// the memory, or displaces from the reports what several daemons have seen.
func TestOutcomesOfAPeerAreBounded(t *testing.T) {
	is := is.New(t)
	o := NewOutcomeTally("a", func(c directory.Cookie) bool { return c < 2*maxPeerServers })
	o.Add(1, Failed, start)
	o.Record(peerB, reportOf(Outcomes{Server: 1, Failed: outcomeScale}), start)
	o.Record(peerA, reportOf(Outcomes{Server: 2 * maxPeerServers, Failed: 8}), start)
	for c := range directory.Cookie(2 * maxPeerServers) {
		o.Record(peerA, reportOf(Outcomes{Server: c, Failed: math.MaxInt32}), start)
	}
	is.Equal(len(o.peers), maxPeerServers)
	is.Equal(o.Witnessed(0, start).Total(), 0.0)
	is.Equal(o.Witnessed(1, start).Failed, 4.0) // the others' two, and as many of peerA's
	is.Equal(o.Witnessed(2*maxPeerServers, start).Total(), 0.0)
	o.Record(peerA, reportOf(Outcomes{Server: 1}), start)
	var r Report
	o.AddTo(&r, true, start)
	is.Equal(r.Outcomes[0].Server, directory.Cookie(1))
	o.Expire(start.Add(time.Hour))
	is.Equal(len(o.peers)+len(o.rows)+len(o.daemons), 0)
}
