package forward

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// testSlots is the number of slots in tests, small to make membership changes
// cheap.
const testSlots = 256

// exceptionBudget is in bytes per second, and larger than any test needs.
const exceptionBudget = 1 << 20

var (
	fabricAddr = netip.MustParseAddrPort("192.0.2.200:6081")
	tcpService = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.1:443"), Protocol: tables.TCP}
	udpService = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.2:443"), Protocol: tables.UDP}
	testStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// node is one daemon of a testCluster: an engine with its own state, but
// without sockets.
type node struct {
	name       member.Name
	data       netip.AddrPort
	engine     *Engine
	tracker    *Tracker
	manager    *exception.Manager
	metrics    *metrics.Registry
	policy     selection.Policy
	record     member.Member
	exceptions []exception.Entry
}

// HasBudget, Add and Close make node a LocalExceptions that also records the
// added exceptions.
func (n *node) HasBudget(now time.Time) bool { return n.manager.Sender.HasBudget(now) }
func (n *node) Close(fingerprint uint64)     { n.manager.Sender.Close(fingerprint) }
func (n *node) Add(e exception.Entry, now time.Time) {
	n.exceptions = append(n.exceptions, e)
	n.manager.Sender.Add(e, now)
}

// refused returns how many packets were refused for a reason.
func (n *node) refused(r metrics.Reason) int64 { return n.metrics.Refusals().Value(r) }

// flows returns the number of flows in the flow table.
func (n *node) flows() int { return n.engine.flows.Len() }

// exception returns the first exception that was added for a flow.
func (n *node) exception(fp uint64) (exception.Entry, bool) {
	for _, e := range n.exceptions {
		if e.Fingerprint == fp {
			return e, true
		}
	}
	return exception.Entry{}, false
}

// testCluster connects the engines of several nodes without a network and
// collects the packets that reach the fabric.
type testCluster struct {
	t      *testing.T
	now    time.Time
	nodes  map[member.Name]*node
	order  []*node
	tables *tables.Snapshot
	// policy returns the policy of a new node; nil stands for rendezvous.
	policy func() selection.Policy
}

// delivered is a packet that reached the fabric.
type delivered struct {
	src, dst netip.AddrPort
	flags    uint8
	payload  int
	icmp     bool
	by       member.Name
}

// newTestCluster returns a cluster of alive members with empty tables.
func newTestCluster(t *testing.T, names ...member.Name) *testCluster {
	tc := &testCluster{t: t, now: testStart, nodes: make(map[member.Name]*node), tables: tables.Empty()}
	for _, n := range names {
		tc.addNode(n)
	}
	tc.refresh()
	return tc
}

// addNode adds a node; the others learn of it by the next refresh.
func (tc *testCluster) addNode(name member.Name) *node {
	i := len(tc.order) + 1
	n := &node{
		name: name, data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, 0, byte(i)}), 6081),
		tracker: newTracker(owner.NewSizedMap(testSlots, nil)), metrics: metrics.NewRegistry(),
		policy: selection.NewRendezvous(),
	}
	if tc.policy != nil {
		n.policy = tc.policy()
	}
	n.manager = &exception.Manager{
		Pause: func(context.Context, time.Duration) bool { return true },
		Table: exception.NewTable(1000), Peers: tc, Metrics: n.metrics,
		Sender: exception.NewSender(tc, n.metrics, exceptionBudget, tc.now),
	}
	n.record = member.Member{Name: name, Zone: fmt.Sprint("zone-", i%2), Data: n.data, Capacity: 100, Incarnation: 1}
	n.engine = New(Config{
		Flows: flow.NewTable(2000), Policy: n.policy, Received: n.manager.Table, Local: n, Metrics: n.metrics,
		Log: events.Discard(), Fabrics: []netip.AddrPort{fabricAddr}, NewFlowRate: 100_000,
	})
	tc.nodes[name] = n
	tc.order = append(tc.order, n)
	return n
}

// refresh updates every node to the current member records and tables.
func (tc *testCluster) refresh() {
	for _, n := range tc.order {
		tc.refreshNode(n, true)
	}
}

// refreshNode updates one node to the current member records and tables.
func (tc *testCluster) refreshNode(n *node, eligible bool) {
	records := make([]member.Member, 0, len(tc.order))
	for _, o := range tc.order {
		records = append(records, o.record)
	}
	view := member.NewView(n.record, records, eligible)
	n.engine.SetView(n.tracker.Update(view, tc.now))
	backup, _ := view.Backup(n.name)
	n.manager.Sender.SetBackup(n.record, backup.Name)
	if tc.tables.Version() > 0 {
		n.engine.ApplyTables(tc.tables, tc.now)
	}
}

// setState changes the state of a member and updates every node.
func (tc *testCluster) setState(name member.Name, s member.State) {
	tc.nodes[name].record.State = s
	tc.refresh()
}

// applyOperations applies operations to the tables of every node.
func (tc *testCluster) applyOperations(ops ...tables.Operation) {
	tc.t.Helper()
	old := tc.tables
	next, err := old.Apply(tables.Delta{
		Version: old.Version() + 1, WriteID: tables.NewWriteID(), Author: "test", Time: tc.now, Operations: ops,
	})
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.tables = next
	tc.refresh()
	for _, n := range tc.order {
		n.engine.Reassess(old, next, tc.now)
	}
}

// backend returns the active server s<i>.
func backend(i int) tables.Server {
	return tables.Server{
		Name:     fmt.Sprint("s", i),
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8443),
		Zone:     "zone-0", State: tables.Active,
	}.WithDefaults()
}

// addServices adds a TCP and a UDP service with three backend servers each.
func (tc *testCluster) addServices() {
	tc.applyOperations(
		tables.PutPool{Name: "despacho", Servers: []tables.Server{backend(1), backend(2), backend(3)}},
		tables.PutPool{Name: "mapas", Servers: []tables.Server{backend(4), backend(5), backend(6)}},
		tables.PutRoute{Name: "despacho", Address: tcpService, Pool: "despacho"},
		tables.PutRoute{Name: "mapas", Address: udpService, Pool: "mapas"},
	)
}

// send passes a packet from the fabric to one node, and the packets that this
// node forwards to the others. It returns the packets that reach the fabric.
func (tc *testCluster) send(at *node, b []byte) []delivered {
	tc.t.Helper()
	return tc.handle(at, &carrier.Incoming{Inner: b, From: fabricAddr})
}

// handle is send for a packet from any sender, with any hop option.
func (tc *testCluster) handle(at *node, in *carrier.Incoming) []delivered {
	tc.t.Helper()
	out := NewOutput(4)
	at.engine.Handle(in, out, tc.now)
	var result []delivered
	for _, p := range out.Packets {
		if p.To == fabricAddr {
			result = append(result, tc.parse(at, p.Inner))
			continue
		}
		for _, n := range tc.order {
			if n.data == p.To && n.record.State != member.Dead {
				next := &carrier.Incoming{Inner: append([]byte(nil), p.Inner...), From: at.data, Hop: p.Hop}
				result = append(result, tc.handle(n, next)...)
			}
		}
	}
	return result
}

// parse returns the packet that a node sent to the fabric.
func (tc *testCluster) parse(by *node, b []byte) delivered {
	tc.t.Helper()
	var info packet.Info
	if err := packet.Parse(b, &info); err != nil {
		tc.t.Fatalf("delivered packet is invalid: %v", err)
	}
	d := delivered{src: info.Src, dst: info.Dst, flags: info.TCPFlags, payload: info.PayloadLen, icmp: info.ICMPError, by: by.name}
	if info.ICMPError {
		d.dst = netip.AddrPortFrom(info.OuterDst, 0)
	}
	return d
}

// sendOne sends a packet and expects exactly one packet at the fabric.
func (tc *testCluster) sendOne(at *node, b []byte) delivered {
	tc.t.Helper()
	got := tc.send(at, b)
	if len(got) != 1 {
		tc.t.Fatalf("%d packets reached the fabric, want 1", len(got))
	}
	return got[0]
}

// sendNone sends a packet and expects that none reaches the fabric.
func (tc *testCluster) sendNone(at *node, b []byte) {
	tc.t.Helper()
	if got := tc.send(at, b); len(got) != 0 {
		tc.t.Fatalf("%+v reached the fabric, want nothing", got)
	}
}

// ownerOf returns the node that owns the caller's slot.
func (tc *testCluster) ownerOf(p tables.Protocol, caller netip.AddrPort) *node {
	return tc.nodes[tc.order[0].engine.view.Load().Map.OwnerName(slotOf(p, caller))]
}

// callerAt returns one of many distinct callers.
func callerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i >> 8)}), uint16(20000+i))
}

// callerOf returns a caller whose TCP and UDP slots both belong to n.
func (tc *testCluster) callerOf(n *node) netip.AddrPort {
	for i := range 10_000 {
		c := callerAt(i)
		if tc.ownerOf(tables.TCP, c) == n && tc.ownerOf(tables.UDP, c) == n {
			return c
		}
	}
	tc.t.Fatal("found no caller whose slots this node owns")
	return netip.AddrPort{}
}

// segment returns a TCP segment over IPv4.
func segment(src, dst netip.AddrPort, flags uint8, payload int) []byte {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()), Seq: 1, Ack: 1, Window: 1024,
		SYN: flags&packet.FlagSYN != 0, ACK: flags&packet.FlagACK != 0,
		RST: flags&packet.FlagRST != 0, FIN: flags&packet.FlagFIN != 0,
	}
	return serialize(src, dst, layers.IPProtocolTCP, tcp, tcp, make([]byte, payload))
}

// datagram returns a UDP datagram that looks like a QUIC packet with a long
// header.
func datagram(src, dst netip.AddrPort) []byte { return datagramOf(src, dst, 100, longHeaderByte) }

// First payload bytes of datagrams: of QUIC packets with a long and a short
// header, and of another protocol.
const (
	longHeaderByte  = 0xc0
	shortHeaderByte = 0x40
	nonQUICByte     = 0x00
)

// datagramOf returns a UDP datagram over IPv4 with this payload length and
// first byte.
func datagramOf(src, dst netip.AddrPort, payload int, first byte) []byte {
	content := make([]byte, payload)
	content[0] = first
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	return serialize(src, dst, layers.IPProtocolUDP, udp, udp, content)
}

// checksummed is a transport header whose checksum covers the IP addresses.
type checksummed interface {
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func serialize(src, dst netip.AddrPort, p layers.IPProtocol, l gopacket.SerializableLayer, c checksummed, payload []byte) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: p, SrcIP: src.Addr().AsSlice(), DstIP: dst.Addr().AsSlice()}
	if err := c.SetNetworkLayerForChecksum(ip); err != nil {
		panic(err)
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, l, gopacket.Payload(payload)); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// PutExceptions makes testCluster the exception.Peers of its nodes.
func (tc *testCluster) PutExceptions(_ context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	n := tc.nodes[to]
	if n == nil || n.record.State == member.Dead {
		return nil, errors.New("connection refused")
	}
	return n.manager.Accept(n.record, member.Name(b.GetOwner()), b, tc.now), nil
}

// replicate makes every node that is not dead send its exceptions to its
// backup.
func (tc *testCluster) replicate() {
	tc.now = tc.now.Add(exception.MinAge)
	for _, n := range tc.order {
		if n.record.State != member.Dead {
			n.manager.Sender.Flush(context.Background(), tc.now)
		}
	}
}

// handOver makes every node that is not dead hand over the flows of moved
// slots.
func (tc *testCluster) handOver() {
	for _, n := range tc.order {
		if n.record.State != member.Dead {
			n.manager.HandOver(context.Background(), n.tracker.last, n.engine.Owner, n.engine.MovedFlows(), tc.now)
		}
	}
}
