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

// The fault matrix runs one flow through its steps and injects faults before
// them: each fault alone before each step, and each ordered pair of faults,
// including the same one twice. Each cell runs for TCP and UDP, and with short
// and long times between the steps. A cell's seed is the hash of its name, so
// renaming a fault or a step changes it.

// kind is a kind of message, encoded as TCP flags or as a payload length.
type kind int

const (
	openMessage kind = iota + 1
	request
	response
	finish
	reset
)

// maxTries is how many times caller and server send a message before they give
// up.
const maxTries = 8

// detectionTries is how many tries pass before the members detect a crash.
const detectionTries = 2

// host simulates a backend server, including the kernel's answers to packets of
// unknown connections.
type host struct {
	endpoint netip.AddrPort
	protocol tables.Protocol
	conns    map[netip.AddrPort]bool // by caller; true once the request was executed
	down     bool
	draining bool
}

// trial simulates one cell of the matrix: a flow with its caller, its servers
// and a cluster of balancers.
type trial struct {
	cluster  *testCluster
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
	// violations are prefixed with the broken promise, P1 to P7 as in
	// standin/fabric, where there is one.
	violations []string

	// onDetection holds what happens when the members detect a fault or a late
	// change.
	onDetection []func()
	joined      int
}

// newTrial returns a trial with five members and nine servers.
func newTrial(t *testing.T, protocol tables.Protocol, seed uint64) *trial {
	tr := &trial{
		rng: rand.New(rand.NewPCG(seed, 1)), protocol: protocol, hosts: make(map[netip.AddrPort]*host),
		received: make(map[kind]bool), service: tcpService, pool: "despacho",
	}
	tc := &testCluster{t: t, now: testStart, nodes: make(map[member.Name]*node), tables: tables.Empty()}
	tc.policy = func() selection.Policy { return deviatingPolicy{selection.NewRendezvous()} }
	for _, n := range []member.Name{"a", "b", "c", "d", "e"} {
		tc.addNode(n)
	}
	tc.refresh()
	tc.addServices()
	tr.cluster = tc
	if protocol == tables.UDP {
		tr.service, tr.pool = udpService, "mapas"
	}
	for i := range 9 {
		tr.addHost(i + 1)
	}
	tr.caller = callerAt(tr.rng.IntN(5000))
	return tr
}

// addHost adds the host of backend(i).
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

// deviatingPolicy puts every second flow on a server that is not its default,
// to create exceptions.
type deviatingPolicy struct{ selection.Policy }

func (d deviatingPolicy) Choose(r selection.Request) (selection.Choice, error) {
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

func (tr *trial) addViolation(format string, args ...any) {
	tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
}

// entry returns the node to which the fabric sends a packet, at random.
func (tr *trial) entry() *node {
	for {
		n := tr.cluster.order[tr.rng.IntN(len(tr.cluster.order))]
		if n.record.State != member.Dead {
			return n
		}
	}
}

// build returns a packet with a message of the flow.
func (tr *trial) build(src, dst netip.AddrPort, k kind) []byte {
	if tr.protocol == tables.UDP {
		first := byte(shortHeaderByte)
		if k == openMessage {
			first = longHeaderByte
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

// kindOf returns the kind of message in a delivered packet.
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

// transmit sends a message through the balancers and lets its receivers react.
func (tr *trial) transmit(src, dst netip.AddrPort, k kind) {
	for _, d := range tr.cluster.send(tr.entry(), tr.build(src, dst, k)) {
		switch {
		case d.icmp:
			tr.callerRefused()
		case d.dst == tr.caller:
			tr.callerReceives(d)
		case tr.hosts[d.dst] != nil:
			tr.hostReceives(tr.hosts[d.dst], d)
		default:
			tr.addViolation("P2: packet reached %v", d.dst)
		}
	}
}

// callerReceives lets the caller handle a packet.
func (tr *trial) callerReceives(d delivered) {
	if d.src != tr.service.AddrPort {
		tr.addViolation("P3: response from %v instead of the service", d.src)
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

// callerRefused handles a refusal, which tells the caller that its request was
// not executed.
func (tr *trial) callerRefused() {
	tr.refused = true
	if tr.executions > 0 {
		tr.addViolation("P4: refused after the request was executed")
	}
}

// hostReceives lets a server handle a packet.
func (tr *trial) hostReceives(h *host, d delivered) {
	if h.protocol != tr.protocol {
		tr.addViolation("P2: packet reached a server of another service")
	}
	if d.src != tr.caller {
		tr.addViolation("P3: packet at the server is from %v instead of the caller", d.src)
	}
	if h.down {
		return
	}
	executed, known := h.conns[tr.caller]
	k := tr.kindOf(d)
	switch {
	case k == openMessage:
		if !known && h.draining {
			tr.addViolation("P6: new flow on a draining server")
		}
		h.conns[tr.caller] = executed
		tr.transmit(h.endpoint, tr.caller, openMessage)
	case !known && tr.protocol == tables.TCP && k == request && tr.knownElsewhere():
		tr.addViolation("P5: payload reached a second server")
	case k == 0 && known:
		tr.transmit(h.endpoint, tr.caller, 0) // the answer to a keepalive segment
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

// knownElsewhere reports whether any server that is up has the connection.
func (tr *trial) knownElsewhere() bool {
	for _, h := range tr.hosts {
		if _, known := h.conns[tr.caller]; known && !h.down {
			return true
		}
	}
	return false
}

// execute lets a server execute the request, unless it has done so before, and
// respond.
func (tr *trial) execute(h *host, executed bool) {
	if !executed {
		tr.executions++
		h.conns[tr.caller] = true
	}
	if tr.executions > 1 {
		tr.addViolation("P5: the request was executed %d times", tr.executions)
	}
	tr.transmit(h.endpoint, tr.caller, response)
}

// step lets the caller send k, up to maxTries times, until the answer arrives.
// It ends with the detection of all faults.
func (tr *trial) step(k, answer kind) {
	for try := range maxTries {
		if tr.broken || tr.refused || tr.received[answer] {
			break
		}
		if try == detectionTries {
			tr.runDetection()
		}
		tr.transmit(tr.caller, tr.service.AddrPort, k)
		tr.cluster.now = tr.cluster.now.Add(time.Second)
	}
	if !tr.received[answer] {
		tr.broken = true
	}
	tr.runDetection()
}

// sendLateResponse lets the server send another part of its response without a
// request.
func (tr *trial) sendLateResponse() {
	for _, h := range tr.hosts {
		if h.conns[tr.caller] && !h.down {
			tr.received[response] = false
			for try := 0; try < maxTries && !tr.received[response]; try++ {
				if try == detectionTries {
					tr.runDetection()
				}
				tr.transmit(h.endpoint, tr.caller, response)
				tr.cluster.now = tr.cluster.now.Add(time.Second)
			}
			if !tr.received[response] {
				tr.broken = true
			}
		}
	}
}

// runDetection lets the members detect all faults and late changes.
func (tr *trial) runDetection() {
	for _, f := range tr.onDetection {
		f()
	}
	tr.onDetection = nil
}

// elapse simulates the time between two steps, in which exceptions are sent to
// backups and handed over. After a long time, former owners have dropped the
// flow.
func (tr *trial) elapse(long bool) {
	tr.runDetection()
	tr.cluster.replicate()
	tr.cluster.handOver()
	tr.cluster.replicate()
	if !long {
		return
	}
	tr.cluster.now = tr.cluster.now.Add(PredecessorPeriod + time.Second)
	for _, n := range tr.cluster.order {
		if n.record.State != member.Dead {
			n.engine.DropUnownedFlows(tr.cluster.now)
			n.manager.DropStale(n.tracker.last)
		}
	}
}

const steps = 4

var stepNames = [steps]string{"open", "request", "answer", "close"}

// run performs the steps of the flow and injects the faults of each step before
// it.
func (tr *trial) run(injected map[int][]fault, long bool) {
	actions := [steps]func(){
		func() { tr.step(openMessage, openMessage) },
		func() { tr.step(request, response) },
		tr.sendLateResponse,
		func() { tr.step(finish, finish) },
	}
	for i, act := range actions {
		for _, f := range injected[i] {
			f.inject(tr)
		}
		if tr.broken || tr.refused {
			return
		}
		act()
		tr.elapse(long)
	}
}
