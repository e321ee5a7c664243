package cookie

import (
	"testing"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/placement"
)

const (
	usualLength = 800
	failLength  = 150
)

// learnNorm makes the answers of the harness's route usualLength long.
func (h *harness) learnNorm() {
	for range 20 {
		h.engine.norms.Learn("r", usualLength)
	}
}

// ask opens a flow and sends a request.
func (h *harness) ask() directory.Cookie {
	c := h.open(0)
	h.now = h.now.Add(2 * time.Millisecond)
	h.send(Packet{Cookie: c, Ack: 1000, PayloadLen: 300})
	return c
}

// sums returns how the requests on a server have ended.
func (h *harness) sums(c directory.Cookie) evidence.Sums {
	return h.engine.outcomes.Witnessed(c, h.now).Sums
}

// Guards against missing a failed request, in whichever way the server fails it, and against
// taking a good answer or a caller that gives up early for one.
func TestResultOfARequestShowsInTheCallersPackets(t *testing.T) {
	const target = time.Second // half of the route's timeout
	for name, c := range map[string]struct {
		play func(h *harness, c directory.Cookie)
		want evidence.Sums
	}{
		"answer": {func(h *harness, c directory.Cookie) {
			h.send(Packet{Cookie: c, Ack: 1000 + usualLength, Ends: true})
		}, evidence.Sums{Timely: 1}},
		"late answer": {func(h *harness, c directory.Cookie) {
			h.now = h.now.Add(target + time.Millisecond)
			h.send(Packet{Cookie: c, Ack: 1000 + usualLength, Ends: true})
		}, evidence.Sums{Late: 1}},
		"short answer": {func(h *harness, c directory.Cookie) {
			h.send(Packet{Cookie: c, Ack: 1000 + failLength, Ends: true})
		}, evidence.Sums{Failed: 1}},
		"short answer in parts": {func(h *harness, c directory.Cookie) {
			h.send(Packet{Cookie: c, Ack: 1000 + 20})
			h.send(Packet{Cookie: c, Ack: 1000 + usualLength, Ends: true})
		}, evidence.Sums{Timely: 1}},
		"short answer on a flow that stays open": {func(h *harness, c directory.Cookie) {
			h.send(Packet{Cookie: c, Ack: 1000 + failLength})
			h.now = h.now.Add(settleTime + time.Millisecond)
			h.engine.Expire(h.now)
		}, evidence.Sums{Failed: 1}},
		"server closes without an answer": {func(h *harness, c directory.Cookie) {
			h.send(Packet{Cookie: c, Ack: 1000 + closeLength, Ends: true})
		}, evidence.Sums{Failed: 1}},
		"caller leaves early": {func(h *harness, c directory.Cookie) {
			h.send(Packet{Cookie: c, Ack: 1000, Aborts: true})
		}, evidence.Sums{}},
		"caller leaves after the target latency": {func(h *harness, c directory.Cookie) {
			h.now = h.now.Add(target + time.Millisecond)
			h.send(Packet{Cookie: c, Ack: 1000, Ends: true})
		}, evidence.Sums{Failed: 1}},
		"no answer": {func(h *harness, _ directory.Cookie) {
			h.now = h.now.Add(2*target + time.Millisecond)
			h.engine.Expire(h.now)
			h.engine.Expire(h.now)
		}, evidence.Sums{Failed: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.learnNorm()
			server := h.ask()
			c.play(h, server)
			h.is.Equal(h.sums(server), c.want)
		})
	}
}

// Guards against taking a server for failing that refuses requests because it is full.
func TestRefusalsOfABusyServerAreNoFailures(t *testing.T) {
	h := newHarness(t)
	h.learnNorm()
	h.engine.placer.SetPeerLoad("peer", placement.Load{InProgress: map[directory.Cookie]int{1: 9, 2: 9}}, h.now)
	c := h.ask()
	h.send(Packet{Cookie: c, Ack: 1000 + failLength, Ends: true})
	h.is.Equal(h.sums(c), evidence.Sums{})
}

// Guards against a caller whose answers are short by nature and whose flow stays with one
// server: it would condemn the server alone.
func TestShortAnswersOfOneFlowCountOnce(t *testing.T) {
	h := newHarness(t)
	h.learnNorm()
	c, ack := h.ask(), uint32(1000)
	for i := range uint32(5) {
		ack += failLength
		h.send(Packet{Cookie: c, Seq: 300 * (i + 1), Ack: ack, PayloadLen: 300})
	}
	h.is.Equal(h.sums(c), evidence.Sums{Failed: 1})
}
