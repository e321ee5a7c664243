package cookie

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"knapweedshore.example/internal/admission"
	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/metrics"
)

// busyFleet is a fleet whose servers are busy.
type busyFleet struct{}

func (busyFleet) Daemons(time.Time) int { return 1 }
func (busyFleet) Occupancy(servers []*directory.Server, _ time.Time) admission.Occupancy {
	return admission.Occupancy{InProgress: 100, Daemons: 1, Slots: 2 * len(servers)}
}

var urgentService = netip.MustParseAddrPort("198.18.0.2:443")

// newBusyHarness runs an engine with two routes of different priorities to servers that are
// busy with flows of the less urgent one.
func newBusyHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.engine.admission = admission.New(busyFleet{}, 1)
	route := directory.Route{
		Name: "r", Address: service, Shares: []directory.Share{{Pool: "p", Weight: 1}}, Timeout: 2 * time.Second,
		TargetLatency: 300 * time.Millisecond, Priority: 2,
	}
	urgent := route
	urgent.Name, urgent.Address, urgent.Priority = "urgent", urgentService, 1
	config := &directory.Config{Version: 2, Routes: []directory.Route{route, urgent}}
	h.apply(directory.Change{Config: config})
	h.engine.admission.Apply(config)
	first := h.open(0)
	h.now = h.now.Add(50 * time.Millisecond)
	h.send(Packet{Cookie: first, Seq: 10})
	h.send(Packet{Cookie: first, Seq: 10, PayloadLen: 10})
	h.now = h.now.Add(50 * time.Millisecond)
	h.send(Packet{Cookie: first, Seq: 20, Ack: 20})
	h.send(Packet{Cookie: first, Seq: 20, Ack: 20, Aborts: true})
	for i := range 100 {
		h.sendFrom(caller.Port()+1+uint16(i), Packet{Opens: true})
	}
	h.now = h.now.Add(100 * time.Millisecond)
	return h
}

// sendFrom is like send for another port of the caller.
func (h *harness) sendFrom(port uint16, p Packet) Verdict {
	if !p.Service.IsValid() {
		p.Service = service
	}
	p.Caller = netip.AddrPortFrom(caller.Addr(), port)
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: a Packet has only plain fields
	}
	return h.engine.Handle(append(make([]byte, 4), raw...), h.now)
}

// Guards against a refusal of a flow that a server may have accepted, of an urgent flow, or of
// an open one, and against one that leaves a record or a request in progress behind.
func TestOnlyNewFlowsAreRefusedForLoad(t *testing.T) {
	h := newBusyHarness(t)
	fresh := caller.Port() - 1
	flows, refused := h.engine.FlowCount(), h.metrics.Refusals().Value(metrics.NoRoom)
	inProgress := h.engine.admission.Status(h.now)[0].InProgress
	for range 2 {
		h.is.True(h.sendFrom(fresh, Packet{Opens: true}).Reset)
	}
	h.is.Equal(h.metrics.Refusals().Value(metrics.NoRoom), refused+2)
	h.is.Equal(h.engine.FlowCount(), flows)
	h.is.Equal(h.engine.admission.Status(h.now)[0].InProgress, inProgress)

	h.is.True(!h.sendFrom(fresh, Packet{Opens: true, Retransmits: 1}).Reset)
	h.is.True(!h.sendFrom(fresh, Packet{Opens: true, Service: urgentService}).Reset)
	open := h.sendFrom(caller.Port()+1, Packet{Opens: true})
	h.is.True(open.To.IsValid() && !open.Reset)
	h.is.True(!h.sendFrom(caller.Port()+1, Packet{Cookie: directory.Cookie(open.Bytes[1]), PayloadLen: 10}).Reset)
}

// Guards against requests that fill the pool's room after they have ended, and against further
// requests of a flow that take no room.
func TestRoomIsTakenByRequestsInProgress(t *testing.T) {
	for name, end := range map[string]func(h *harness, c directory.Cookie){
		"response":       func(h *harness, c directory.Cookie) { h.send(Packet{Cookie: c, Seq: 30, Ack: 50}) },
		"caller's end":   func(h *harness, c directory.Cookie) { h.send(Packet{Cookie: c, Seq: 30, Ends: true}) },
		"caller's reset": func(h *harness, c directory.Cookie) { h.send(Packet{Cookie: c, Aborts: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newBusyHarness(t)
			h.now = h.now.Add(time.Second) // the requests of newBusyHarness are lost
			inProgress := func() int { return h.engine.admission.Status(h.now)[0].InProgress }
			h.is.Equal(inProgress(), 0)
			c := h.open(0)
			h.is.Equal(inProgress(), 1)
			h.send(Packet{Cookie: c, Seq: 10})
			h.send(Packet{Cookie: c, Seq: 10, PayloadLen: 10})
			h.is.Equal(inProgress(), 1)
			h.send(Packet{Cookie: c, Seq: 20, Ack: 20})
			h.is.Equal(inProgress(), 0)
			h.send(Packet{Cookie: c, Seq: 20, Ack: 20, PayloadLen: 10})
			h.is.Equal(inProgress(), 1)
			end(h, c)
			h.is.Equal(inProgress(), 0)
		})
	}
}
