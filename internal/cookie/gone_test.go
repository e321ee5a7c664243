package cookie

import (
	"net/netip"
	"testing"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// newGoneHarness returns a harness whose flows have several requests each, with the evidence
// that the engine uses.
func newGoneHarness(t *testing.T) (*harness, *evidence.Silences) {
	h := newHarness(t)
	h.now = h.now.Add(time.Minute)
	silences := evidence.NewSilences(evidence.SilencesOptions{
		Self: netip.MustParseAddr("10.1.0.1"), Zone: "a", OnNews: func() {}, Draw: func() float64 { return 0 },
		Directory: func(time.Time) (*directory.Directory, time.Duration) { return h.directories.current, 0 },
		LastPause: func(time.Time) time.Time { return time.Time{} },
	}, h.now)
	h.engine = NewEngine(Options{
		Codec: jsonCodec{}, Directories: h.directories, Placer: placement.New("a", 1), FlowLifetime: time.Minute, Silences: silences,
		Metrics: h.metrics, Log: events.Discard(),
	})
	return h, silences
}

// longFlow opens a flow and sends two requests on it, which are answered.
func (h *harness) longFlow() directory.Cookie {
	c := h.open(0)
	h.send(Packet{Cookie: c})
	for i := range uint32(2) {
		h.send(Packet{Cookie: c, Seq: 10 * i, Ack: i, PayloadLen: 10})
		h.now = h.now.Add(20 * time.Millisecond)
		h.send(Packet{Cookie: c, Seq: 10 * (i + 1), Ack: i + 1})
	}
	return c
}

// takeAddress lets the address of a server, whose registration vanishes, belong to a new one.
func (h *harness) takeAddress(c directory.Cookie) {
	old := *h.directories.current.ByCookie(c)
	old.Started = 1
	next := server(9, old.Endpoint.String())
	next.Name, next.Pool, next.Started, next.ReadAt = "next", "other", 2, h.now
	h.apply(directory.Change{Server: &old}, directory.Change{Deleted: old.Name}, directory.Change{Server: next})
}

// Guards against an idle flow whose next request is lost on a server that is gone, against
// one whose waiting caller gets its reset only when it repeats the request, and against new
// flows to that server.
func TestFlowsOfAGoneServerAreReset(t *testing.T) {
	for name, waiting := range map[string]bool{"idle": false, "waiting": true} {
		t.Run(name, func(t *testing.T) {
			h, _ := newGoneHarness(t)
			c := h.longFlow()
			h.is.Equal(len(h.engine.Expire(h.now)), 0)
			if waiting {
				h.send(Packet{Cookie: c, Seq: 20, Ack: 2, PayloadLen: 10})
			}
			h.now = h.now.Add(time.Second)
			h.takeAddress(c)
			resets := h.engine.Expire(h.now)
			h.is.Equal(len(resets), 1)
			h.is.Equal(resets[0], Verdict{To: caller, Bytes: []byte("reset"), Reset: true})
			h.is.Equal(h.engine.FlowCount(), 0)
			h.is.Equal(h.engine.placer.Load(h.now).InProgress[c], 0)
			h.is.Equal(len(h.engine.Expire(h.now)), 0)
			for range 4 {
				h.is.True(h.open(0) != c)
				h.now = h.now.Add(openTimeout + time.Millisecond)
			}
		})
	}
}

// Guards against a daemon without a record of the flow, which must not let the caller wait,
// and against resets for packets that need no answer.
func TestAnyDaemonResetsFlowsOfAGoneServer(t *testing.T) {
	h, _ := newGoneHarness(t)
	c := h.longFlow()
	h.now = h.now.Add(time.Second)
	h.takeAddress(c)
	h.engine.Expire(h.now)
	h.is.Equal(h.engine.FlowCount(), 0)
	h.is.True(!h.send(Packet{Cookie: c, Ack: 2}).Reset)
	h.is.True(!h.send(Packet{Cookie: c, Ack: 2, Aborts: true}).Reset)
	h.is.True(h.send(Packet{Cookie: c, Seq: 20, Ack: 2, PayloadLen: 10}).Reset)
	h.is.Equal(h.metrics.Refusals().Value(metrics.ServerGone), int64(1))
}

// Guards against resets where callers send one request on a flow, and where the settings do
// not ask for resets.
func TestShortFlowsAreNotReset(t *testing.T) {
	h, _ := newGoneHarness(t)
	c := h.open(0)
	h.send(Packet{Cookie: c, PayloadLen: 10})
	h.now = h.now.Add(time.Second)
	h.takeAddress(c)
	h.is.Equal(len(h.engine.Expire(h.now)), 0)
	h.is.True(!h.send(Packet{Cookie: c, PayloadLen: 10}).Reset)

	h = newHarness(t)
	c = h.longFlow()
	h.now = h.now.Add(time.Second)
	h.takeAddress(c)
	h.is.Equal(len(h.engine.Expire(h.now)), 0)
	h.is.True(!h.send(Packet{Cookie: c, Seq: 20, Ack: 2, PayloadLen: 10}).Reset)
}

// Guards against an idle flow of a server that has restarted under its id and knows nothing
// of the flow, and against the reset of one that the new process has accepted.
func TestFlowsOfARestartedServerAreReset(t *testing.T) {
	for name, restartedAt := range map[string]time.Duration{"before it was opened": -time.Second, "since": time.Minute} {
		t.Run(name, func(t *testing.T) {
			h, _ := newGoneHarness(t)
			for _, c := range []uint64{1, 2} {
				s := *h.directories.current.ByCookie(directory.Cookie(c))
				s.Started = 1
				h.apply(directory.Change{Server: &s})
			}
			opened := h.now
			c := h.longFlow()
			h.is.Equal(len(h.engine.Expire(h.now)), 0)
			s := *h.directories.current.ByCookie(c)
			s.Started = opened.Add(restartedAt).UnixMilli()
			h.apply(directory.Change{Server: &s})
			h.is.Equal(len(h.engine.Expire(h.now)) == 1, restartedAt > 0)
		})
	}
}

// Guards against hundreds of callers that all open a new flow at the same moment.
func TestResetsArePaced(t *testing.T) {
	h, _ := newGoneHarness(t)
	c := h.longFlow()
	h.now = h.now.Add(time.Second)
	for i := range 100 {
		f := &flow{server: h.directories.current.ByCookie(c), route: h.directories.current.Route(service), established: true, openedAt: h.now, lastSeen: h.now}
		f.progress.waiting = i < 40
		h.engine.flows[flowKey{netip.AddrPortFrom(caller.Addr(), uint16(i)), service}] = f
	}
	h.takeAddress(c)
	h.is.Equal(len(h.engine.Expire(h.now)), maxWaitingResets+maxIdleResets)
	for range 10 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.is.True(len(h.engine.Expire(h.now)) <= maxWaitingResets+maxIdleResets)
	}
	h.is.Equal(h.engine.FlowCount(), 0)
}

// Guards against a caller that gives up and is taken for one that got its answer: its last
// packet is no proof that the server lives.
func TestCallerThatGivesUpProvesNothing(t *testing.T) {
	h, silences := newGoneHarness(t)
	c := h.longFlow()
	other := *h.directories.current.ByCookie(3 - c)
	h.now = h.now.Add(time.Second)
	h.send(Packet{Cookie: c, Seq: 20, Ack: 2, PayloadLen: 10})
	silences.Answered(&other, h.now, h.now)
	h.now = h.now.Add(200 * time.Millisecond)
	h.send(Packet{Cookie: c, Seq: 20, Ack: 2, PayloadLen: 10})
	h.send(Packet{Cookie: c, Seq: 30, Ack: 2, Ends: true})
	var r evidence.Report
	silences.AddTo(&r, true, h.now)
	h.is.Equal(len(r.Silences), 1)
}

// Guards against repeated requests that nobody hears of, and against ones that count although
// nothing shows that this daemon reaches the server's zone.
func TestRepeatedRequestsAreEvidence(t *testing.T) {
	for name, reached := range map[string]bool{"zone reached": true, "zone not reached": false} {
		t.Run(name, func(t *testing.T) {
			h, silences := newGoneHarness(t)
			c := h.longFlow()
			other := *h.directories.current.ByCookie(3 - c)
			h.now = h.now.Add(time.Second)
			request := Packet{Cookie: c, Seq: 20, Ack: 2, PayloadLen: 10}
			h.send(request)
			if reached {
				silences.Answered(&other, h.now.Add(50*time.Millisecond), h.now.Add(100*time.Millisecond))
			}
			h.now = h.now.Add(200 * time.Millisecond)
			h.send(request)
			var r evidence.Report
			silences.AddTo(&r, true, h.now)
			if !reached {
				h.is.Equal(len(r.Silences), 0)
				return
			}
			h.is.Equal(len(r.Silences), 1)
			h.is.Equal(r.Silences[0].Server, c)
			h.is.Equal(r.Silences[0].Flows, 1)
			h.is.Equal(r.Silences[0].SilentFor, 200*time.Millisecond)
		})
	}
}
