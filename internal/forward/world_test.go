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

// testSlots keeps membership changes cheap.
const testSlots = 256

// exceptionBudget in bytes per second, larger than any test needs.
const exceptionBudget = 1 << 20

var (
	fabricAddr = netip.MustParseAddrPort("192.0.2.200:6081")
	tcpService = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.1:443"), Protocol: tables.TCP}
	udpService = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.2:443"), Protocol: tables.UDP}
	testStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// node is one engine with its own state, without sockets.
type node struct {
	name    member.Name
	data    netip.AddrPort
	engine  *Engine
	tracker *Tracker
	keeper  *exception.Manager
	metrics *metrics.Registry
	policy  selection.Policy
	record  member.Member
	sent    []exception.Entry
}

// HasBudget, Add and Close make node an OwnExceptions that also records.
func (n *node) HasBudget(now time.Time) bool { return n.keeper.Sender.HasBudget(now) }
func (n *node) Close(fingerprint uint64)     { n.keeper.Sender.Close(fingerprint) }
func (n *node) Add(e exception.Entry, now time.Time) {
	n.sent = append(n.sent, e)
	n.keeper.Sender.Add(e, now)
}
func (n *node) refused(r metrics.Reason) int64 { return n.metrics.Refusals().Value(r) }
func (n *node) flows() int                     { return n.engine.flows.Len() }
func (n *node) exception(fp uint64) (exception.Entry, bool) {
	for _, e := range n.sent {
		if e.Fingerprint == fp {
			return e, true
		}
	}
	return exception.Entry{}, false
}

// world connects engines directly and collects what reaches the fabric.
type world struct {
	t      *testing.T
	now    time.Time
	nodes  map[member.Name]*node
	order  []*node
	tables *tables.Snapshot
	// policy makes the policy of each new node; nil stands for rendezvous.
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

func newWorld(t *testing.T, names ...member.Name) *world {
	w := &world{t: t, now: testStart, nodes: make(map[member.Name]*node), tables: tables.Empty()}
	for _, n := range names {
		w.add(n)
	}
	w.refresh()
	return w
}

func (w *world) add(name member.Name) *node {
	i := len(w.order) + 1
	n := &node{
		name: name, data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, 0, byte(i)}), 6081),
		tracker: newTracker(owner.NewSizedMap(testSlots, nil)), metrics: metrics.NewRegistry(),
		policy: selection.NewRendezvous(),
	}
	if w.policy != nil {
		n.policy = w.policy()
	}
	n.keeper = &exception.Manager{
		Pause: func(context.Context, time.Duration) bool { return true },
		Table: exception.NewTable(1000), Peers: w, Metrics: n.metrics,
		Sender: exception.NewSender(w, n.metrics, exceptionBudget, w.now),
	}
	n.record = member.Member{Name: name, Zone: fmt.Sprint("zone-", i%2), Data: n.data, Capacity: 100, Incarnation: 1}
	n.engine = New(Config{
		Flows: flow.NewTable(2000), Policy: n.policy, Received: n.keeper.Table, Local: n, Metrics: n.metrics,
		Log: events.Discard(), Fabrics: []netip.AddrPort{fabricAddr}, NewFlowRate: 100_000,
	})
	w.nodes[name] = n
	w.order = append(w.order, n)
	return n
}

// refresh gives every engine the present records and tables.
func (w *world) refresh() {
	for _, n := range w.order {
		w.refreshNode(n, true)
	}
}

func (w *world) refreshNode(n *node, standing bool) {
	records := make([]member.Member, 0, len(w.order))
	for _, o := range w.order {
		records = append(records, o.record)
	}
	view := member.NewView(n.record, records, standing)
	n.engine.SetView(n.tracker.Update(view, w.now))
	backup, _ := view.Backup(n.name)
	n.keeper.Sender.SetBackup(n.record, backup.Name)
	if w.tables.Version() > 0 {
		n.engine.ApplyTables(w.tables, w.now)
	}
}

func (w *world) setState(name member.Name, s member.State) {
	w.nodes[name].record.State = s
	w.refresh()
}

// change applies operations to the tables of every engine.
func (w *world) change(ops ...tables.Operation) {
	w.t.Helper()
	old := w.tables
	next, err := old.Apply(tables.Delta{
		Version: old.Version() + 1, WriteID: tables.NewWriteID(), Author: "test", Time: w.now, Operations: ops,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.tables = next
	w.refresh()
	for _, n := range w.order {
		n.engine.Reassess(old, next, w.now)
	}
}

func backend(i int) tables.Server {
	return tables.Server{
		Name:     fmt.Sprint("s", i),
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8443),
		Zone:     "zone-0", State: tables.Active,
	}.WithDefaults()
}

// services adds a TCP and a UDP service with three backend servers each.
func (w *world) services() {
	w.change(
		tables.PutPool{Name: "despacho", Servers: []tables.Server{backend(1), backend(2), backend(3)}},
		tables.PutPool{Name: "mapas", Servers: []tables.Server{backend(4), backend(5), backend(6)}},
		tables.PutRoute{Name: "despacho", Address: tcpService, Pool: "despacho"},
		tables.PutRoute{Name: "mapas", Address: udpService, Pool: "mapas"},
	)
}

// send hands a packet to one engine and follows it through the others.
func (w *world) send(at *node, b []byte) []delivered {
	w.t.Helper()
	return w.handle(at, &carrier.Incoming{Inner: b, From: fabricAddr})
}

func (w *world) handle(at *node, in *carrier.Incoming) []delivered {
	w.t.Helper()
	out := NewOutput(4)
	at.engine.Handle(in, out, w.now)
	var result []delivered
	for _, p := range out.Packets {
		if p.To == fabricAddr {
			result = append(result, w.parse(at, p.Inner))
			continue
		}
		for _, n := range w.order {
			if n.data == p.To && n.record.State != member.Dead {
				next := &carrier.Incoming{Inner: append([]byte(nil), p.Inner...), From: at.data, Hop: p.Hop}
				result = append(result, w.handle(n, next)...)
			}
		}
	}
	return result
}

func (w *world) parse(by *node, b []byte) delivered {
	w.t.Helper()
	var info packet.Info
	if err := packet.Parse(b, &info); err != nil {
		w.t.Fatalf("delivered packet is invalid: %v", err)
	}
	d := delivered{src: info.Src, dst: info.Dst, flags: info.TCPFlags, payload: info.PayloadLen, icmp: info.ICMPError, by: by.name}
	if info.ICMPError {
		d.dst = netip.AddrPortFrom(info.OuterDst, 0)
	}
	return d
}

// one sends a packet and expects exactly one packet at the fabric.
func (w *world) one(at *node, b []byte) delivered {
	w.t.Helper()
	got := w.send(at, b)
	if len(got) != 1 {
		w.t.Fatalf("%d packets reached the fabric, want 1", len(got))
	}
	return got[0]
}

// none sends a packet and expects that nothing reaches the fabric.
func (w *world) none(at *node, b []byte) {
	w.t.Helper()
	if got := w.send(at, b); len(got) != 0 {
		w.t.Fatalf("%+v reached the fabric, want nothing", got)
	}
}

// ownerOf returns the engine that owns the caller's slot.
func (w *world) ownerOf(p tables.Protocol, caller netip.AddrPort) *node {
	return w.nodes[w.order[0].engine.view.Load().Map.OwnerName(slotOf(p, caller))]
}

func callerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i >> 8)}), uint16(20000+i))
}

// callerOf returns a caller whose TCP and UDP slots both belong to n.
func (w *world) callerOf(n *node) netip.AddrPort {
	for i := range 10_000 {
		c := callerAt(i)
		if w.ownerOf(tables.TCP, c) == n && w.ownerOf(tables.UDP, c) == n {
			return c
		}
	}
	w.t.Fatal("no caller of this node")
	return netip.AddrPort{}
}

func segment(src, dst netip.AddrPort, flags uint8, payload int) []byte {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()), Seq: 1, Ack: 1, Window: 1024,
		SYN: flags&packet.FlagSYN != 0, ACK: flags&packet.FlagACK != 0,
		RST: flags&packet.FlagRST != 0, FIN: flags&packet.FlagFIN != 0,
	}
	return serialize(src, dst, layers.IPProtocolTCP, tcp, tcp, make([]byte, payload))
}

func datagram(src, dst netip.AddrPort) []byte { return datagramOf(src, dst, 100, longForm) }

// First bytes of datagrams: QUIC packets with a long and with a short header,
// and a protocol that is not QUIC.
const (
	longForm  = 0xc0
	shortForm = 0x40
	otherForm = 0x00
)

func datagramOf(src, dst netip.AddrPort, payload int, first byte) []byte {
	content := make([]byte, payload)
	content[0] = first
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	return serialize(src, dst, layers.IPProtocolUDP, udp, udp, content)
}

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

// PutExceptions makes world the Peers of its nodes.
func (w *world) PutExceptions(_ context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	n := w.nodes[to]
	if n == nil || n.record.State == member.Dead {
		return nil, errors.New("connection refused")
	}
	return n.keeper.Accept(n.record, member.Name(b.GetOwner()), b, w.now), nil
}

// replicate lets every live node send its exceptions to its backup.
func (w *world) replicate() {
	w.now = w.now.Add(exception.MinAge)
	for _, n := range w.order {
		if n.record.State != member.Dead {
			n.keeper.Sender.Flush(context.Background(), w.now)
		}
	}
}

// handOver lets every live node hand over what has moved.
func (w *world) handOver() {
	for _, n := range w.order {
		if n.record.State != member.Dead {
			n.keeper.HandOver(context.Background(), n.tracker.last, n.engine.Owner, n.engine.MovedFlows(), w.now)
		}
	}
}
