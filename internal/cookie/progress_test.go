package cookie

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/metrics"
)

// Guards against following only the first request of a flow, against packets that overtook
// each other and count as repeated, and against sequence numbers that wrap around.
func TestProgressFollowsEveryRequest(t *testing.T) {
	is := is.New(t)
	const base = math.MaxUint32 - 50
	var g progress
	now := epoch
	observe := func(after time.Duration, seq, ack uint32, length int) step {
		now = now.Add(after)
		return g.observe(Packet{Seq: base + seq, Ack: base + ack, PayloadLen: length}, now)
	}
	is.Equal(observe(0, 0, 0, 0), step{})
	for i := range uint32(3) {
		seq, ack := 200*i, 500*i
		is.Equal(observe(time.Second, seq, ack, 100), step{requested: true})
		is.Equal(observe(time.Millisecond, seq+100, ack, 100), step{})
		is.Equal(observe(time.Millisecond, seq, ack, 100), step{}) // overtaken
		first := now.Add(-time.Millisecond)
		is.Equal(observe(200*time.Millisecond, seq, ack, 100), step{repeated: true, previouslySentAt: first})
		is.Equal(observe(time.Millisecond, seq+100, ack, 100), step{}) // the rest of the same retransmission
		is.Equal(g.repeats, 1)
		is.Equal(observe(50*time.Millisecond, seq+200, ack+500, 0), step{answered: true, advanced: true, took: 253 * time.Millisecond})
		is.Equal(observe(time.Millisecond, seq+200, ack+400, 0), step{}) // overtaken
	}
	is.Equal(observe(time.Second, 600, 1500, 10), step{requested: true})
	is.Equal(observe(time.Second, 610, 1600, 10), step{answered: true, advanced: true, took: time.Second, requested: true})
}

// Guards against further requests of an open flow that do not count as load on its server.
func TestFurtherRequestsCountAsLoad(t *testing.T) {
	h := newHarness(t)
	c := h.open(0)
	inProgress := func() int { return h.engine.placer.Load(h.now).InProgress[c] }
	h.send(Packet{Cookie: c})
	for i := range uint32(3) {
		h.send(Packet{Cookie: c, Seq: 10 * i, Ack: i, PayloadLen: 10})
		h.is.Equal(inProgress(), 1)
		h.send(Packet{Cookie: c, Seq: 10 * (i + 1), Ack: i + 1})
		h.is.Equal(inProgress(), 0)
		h.now = h.now.Add(5 * time.Second)
		h.engine.Expire(h.now)
	}
	h.is.Equal(h.engine.FlowCount(), 1)
	h.now = h.now.Add(defaultIdleTimeout)
	h.engine.Expire(h.now)
	h.is.Equal(h.engine.FlowCount(), 0)
}

// Guards against flows that nobody follows after their daemon was replaced, and against a
// record of such a flow that pins it to the wrong server: only its first daemon knows which
// of two servers holds it.
func TestFlowsOfOtherDaemonsAreAdopted(t *testing.T) {
	h := newHarness(t)
	h.send(Packet{Cookie: 1})
	h.is.Equal(h.engine.FlowCount(), 0)
	h.send(Packet{Cookie: 1, PayloadLen: 10})
	h.is.Equal(h.engine.placer.Load(h.now).InProgress[1], 1)
	v := h.send(Packet{Cookie: 2, PayloadLen: 10})
	h.is.Equal(v.To, h.directories.endpoint(2))
	h.is.Equal(h.engine.placer.Load(h.now).InProgress, map[directory.Cookie]int{2: 1})
	h.is.Equal(h.metrics.Totals().Value(metrics.FlowsAdopted), int64(1))
}

// Guards against packets that go to the server of an earlier flow from the same port, whose
// record is kept although the caller ended it through another daemon.
func TestRecordOfAnEarlierFlowIsNotUsed(t *testing.T) {
	h := newHarness(t)
	c := h.open(0)
	h.send(Packet{Cookie: c, Seq: 1000, PayloadLen: 10})
	h.send(Packet{Cookie: c, Seq: 1010, Ack: 5})
	h.now = h.now.Add(5 * time.Second)
	v := h.send(Packet{Cookie: 3 - c, Seq: 3_000_000_000, PayloadLen: 10})
	h.is.Equal(v.To, h.directories.endpoint(3-c))
	h.is.Equal(h.engine.placer.Load(h.now).InProgress, map[directory.Cookie]int{3 - c: 1})
}

// Guards against packets to the old address of a server that has restarted elsewhere under
// its id, since the record of an idle flow is kept.
func TestRecordFollowsTheServersAddress(t *testing.T) {
	h := newHarness(t)
	c := h.open(0)
	h.send(Packet{Cookie: c})
	restarted := *h.directories.current.ByCookie(c)
	restarted.Started, restarted.Endpoint = 9, server(7, "10.0.0.7:80").Endpoint
	h.apply(directory.Change{Server: &restarted})
	h.is.Equal(h.send(Packet{Cookie: c, PayloadLen: 10}).To, restarted.Endpoint)
}

// Guards against a flow table that fills up with idle flows.
func TestIdleFlowsGiveWayInACrowdedTable(t *testing.T) {
	h := newHarness(t)
	h.is.Equal(h.engine.idleTimeout(), defaultIdleTimeout)
	h.apply(directory.Change{Config: &directory.Config{Version: 2, IdleTimeout: time.Minute}})
	h.is.Equal(h.engine.idleTimeout(), time.Minute)
	for i := range crowdedFlows + 1 {
		key := flowKey{netip.AddrPortFrom(caller.Addr(), uint16(i)), netip.AddrPortFrom(service.Addr(), uint16(i>>16))}
		h.engine.flows[key] = &flow{}
	}
	h.is.Equal(h.engine.idleTimeout(), endedFlowTTL)
}
