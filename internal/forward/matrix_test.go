package forward

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
)

// The fault matrix runs one flow through its steps and lets every fault strike
// before every step: alone, and in every ordered pair, the same fault twice
// included. Each cell runs for TCP and UDP, and with short and long times
// between the steps. A cell's seed follows from its name.

// kind is a message of the flow, carried as TCP flags or as a datagram length.
type kind int

const (
	openMessage kind = iota + 1
	request
	response
	finish
	reset
)

// maxTries is how often caller and server send a message before they give up.
const maxTries = 8

// detectionTries is how many tries pass before the members notice a crash.
const detectionTries = 2

// host is a backend server: it knows its connections and answers as the kernel
// of a real host would.
type host struct {
	endpoint netip.AddrPort
	protocol tables.Protocol
	conns    map[netip.AddrPort]bool // true once the request was executed
	down     bool
	draining bool
}

// trial is one cell of the matrix.
type trial struct {
	w        *world
	rng      *rand.Rand
	protocol tables.Protocol
	service  tables.Address
	pool     string
	caller   netip.AddrPort
	hosts    map[netip.AddrPort]*host

	received   map[kind]bool
	executions int
	broken     bool
	refused    bool
	violations []string

	// detect is called when the members notice what happened.
	detect []func()
	joined int
}

func newTrial(t *testing.T, protocol tables.Protocol, seed uint64) *trial {
	tr := &trial{
		rng: rand.New(rand.NewPCG(seed, 1)), protocol: protocol, hosts: make(map[netip.AddrPort]*host),
		received: make(map[kind]bool), service: tcpService, pool: "despacho",
	}
	w := &world{t: t, now: testStart, nodes: make(map[member.Name]*node), tables: tables.Empty()}
	w.policy = func() selection.Policy { return deviating{selection.NewRendezvous()} }
	for _, n := range []member.Name{"a", "b", "c", "d", "e"} {
		w.add(n)
	}
	w.refresh()
	w.services()
	tr.w = w
	if protocol == tables.UDP {
		tr.service, tr.pool = udpService, "mapas"
	}
	for i := range 9 {
		tr.addHost(i + 1)
	}
	tr.caller = callerAt(tr.rng.IntN(5000))
	return tr
}

func (tr *trial) addHost(i int) {
	protocol := tables.TCP
	if i >= 4 && i <= 6 {
		protocol = tables.UDP
	}
	if i > 6 {
		protocol = tr.protocol // spare servers of the flow's own service
	}
	e := backend(i).Endpoint
	tr.hosts[e] = &host{endpoint: e, protocol: protocol, conns: make(map[netip.AddrPort]bool)}
}

// deviating puts every second flow on a server that is not its default, so
// that exceptions matter.
type deviating struct{ selection.Policy }

func (d deviating) Choose(r selection.Request) (selection.Choice, error) {
	choice, err := d.Policy.Choose(r)
	if err != nil || r.Key%2 == 0 || r.DefaultOnly {
		return choice, err
	}
	for i := range r.Pool.Servers {
		s := &r.Pool.Servers[i]
		if s.ID != choice.Server.ID && s.State == tables.Active && !r.Avoid(s) {
			return selection.Choice{Server: s}, nil
		}
	}
	return choice, nil
}

func (tr *trial) violate(format string, args ...any) {
	tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
}

// entry is the VM that the fabric picks.
func (tr *trial) entry() *node {
	for {
		n := tr.w.order[tr.rng.IntN(len(tr.w.order))]
		if n.record.State != member.Dead {
			return n
		}
	}
}

func (tr *trial) build(src, dst netip.AddrPort, k kind) []byte {
	if tr.protocol == tables.UDP {
		first := byte(shortForm)
		if k == openMessage {
			first = longForm
		}
		return datagramOf(src, dst, int(k)*10, first)
	}
	fromServer := dst == tr.caller
	switch {
	case k == openMessage && fromServer:
		return segment(src, dst, syn|ack, 0)
	case k == openMessage:
		return segment(src, dst, syn, 0)
	case k == finish:
		return segment(src, dst, fin|ack, 0)
	case k == reset:
		return segment(src, dst, rst, 0)
	}
	return segment(src, dst, ack, int(k)*10)
}

func (tr *trial) kindOf(d delivered) kind {
	switch {
	case tr.protocol == tables.UDP:
		return kind(d.payload / 10)
	case d.flags&packet.FlagRST != 0:
		return reset
	case d.flags&packet.FlagSYN != 0:
		return openMessage
	case d.flags&packet.FlagFIN != 0:
		return finish
	}
	return kind(d.payload / 10)
}

// transmit carries a message through the system, and what it causes.
func (tr *trial) transmit(src, dst netip.AddrPort, k kind) {
	for _, d := range tr.w.send(tr.entry(), tr.build(src, dst, k)) {
		switch {
		case d.icmp:
			tr.callerRefused()
		case d.dst == tr.caller:
			tr.callerReceives(d)
		case tr.hosts[d.dst] != nil:
			tr.hostReceives(tr.hosts[d.dst], d)
		default:
			tr.violate("P2: packet reached %v", d.dst)
		}
	}
}

func (tr *trial) callerReceives(d delivered) {
	if d.src != tr.service.AddrPort {
		tr.violate("P3: answer from %v instead of the service", d.src)
	}
	k := tr.kindOf(d)
	if k != reset {
		tr.received[k] = true
		return
	}
	if tr.received[openMessage] {
		tr.broken = true
		return
	}
	tr.callerRefused()
}

// callerRefused handles the word that the request was not run.
func (tr *trial) callerRefused() {
	tr.refused = true
	if tr.executions > 0 {
		tr.violate("P4: refused after the request was executed")
	}
}

func (tr *trial) hostReceives(h *host, d delivered) {
	if h.protocol != tr.protocol {
		tr.violate("P2: packet reached a server of another service")
	}
	if d.src != tr.caller {
		tr.violate("P3: the server sees %v as its caller", d.src)
	}
	if h.down {
		return
	}
	executed, known := h.conns[tr.caller]
	k := tr.kindOf(d)
	switch {
	case k == openMessage:
		if !known && h.draining {
			tr.violate("P6: new flow on a draining server")
		}
		h.conns[tr.caller] = executed
		tr.transmit(h.endpoint, tr.caller, openMessage)
	case !known && tr.protocol == tables.TCP && k == request && tr.knownElsewhere():
		tr.violate("P5: payload reached a second server")
	case k == 0 && known:
		tr.transmit(h.endpoint, tr.caller, 0) // answers a keepalive segment
	case !known && tr.protocol == tables.TCP && k != reset:
		tr.transmit(h.endpoint, tr.caller, reset)
	case !known: // an unknown datagram is dropped
	case k == request:
		tr.execute(h, executed)
	case k == finish:
		tr.transmit(h.endpoint, tr.caller, finish)
	case k == reset:
		delete(h.conns, tr.caller)
	}
}

// knownElsewhere reports whether a server that is up has the flow.
func (tr *trial) knownElsewhere() bool {
	for _, h := range tr.hosts {
		if _, known := h.conns[tr.caller]; known && !h.down {
			return true
		}
	}
	return false
}

func (tr *trial) execute(h *host, executed bool) {
	if !executed {
		tr.executions++
		h.conns[tr.caller] = true
	}
	if tr.executions > 1 {
		tr.violate("P5: the request was executed %d times", tr.executions)
	}
	tr.transmit(h.endpoint, tr.caller, response)
}

// step lets the caller send k until the answer arrives.
func (tr *trial) step(k, answer kind) {
	for try := range maxTries {
		if tr.broken || tr.refused || tr.received[answer] {
			break
		}
		if try == detectionTries {
			tr.noticed()
		}
		tr.transmit(tr.caller, tr.service.AddrPort, k)
		tr.w.now = tr.w.now.Add(time.Second)
	}
	if !tr.received[answer] {
		tr.broken = true
	}
	tr.noticed()
}

// lateAnswer lets the server send more of its answer without being asked.
func (tr *trial) lateAnswer() {
	for _, h := range tr.hosts {
		if h.conns[tr.caller] && !h.down {
			tr.received[response] = false
			for try := 0; try < maxTries && !tr.received[response]; try++ {
				if try == detectionTries {
					tr.noticed()
				}
				tr.transmit(h.endpoint, tr.caller, response)
				tr.w.now = tr.w.now.Add(time.Second)
			}
			if !tr.received[response] {
				tr.broken = true
			}
		}
	}
}

func (tr *trial) noticed() {
	for _, f := range tr.detect {
		f()
	}
	tr.detect = nil
}

// pause is the time between two steps: exceptions are replicated and handed
// over. After a long one the predecessors have forgotten the flow.
func (tr *trial) pause(long bool) {
	tr.noticed()
	tr.w.replicate()
	tr.w.handOver()
	tr.w.replicate()
	if !long {
		return
	}
	tr.w.now = tr.w.now.Add(PredecessorPeriod + time.Second)
	for _, n := range tr.w.order {
		if n.record.State != member.Dead {
			n.engine.DropUnownedFlows(tr.w.now)
			n.keeper.DropStale(n.tracker.last)
		}
	}
}

const steps = 4

var stepNames = [steps]string{"open", "request", "answer", "close"}

func (tr *trial) run(strikes map[int][]fault, long bool) {
	actions := [steps]func(){
		func() { tr.step(openMessage, openMessage) },
		func() { tr.step(request, response) },
		tr.lateAnswer,
		func() { tr.step(finish, finish) },
	}
	for i, act := range actions {
		for _, f := range strikes[i] {
			f.strike(tr)
		}
		if tr.broken || tr.refused {
			return
		}
		act()
		tr.pause(long)
	}
}
