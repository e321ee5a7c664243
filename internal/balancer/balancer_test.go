package balancer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

const waitLimit = 30 * time.Second

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	service  = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.1:443"), Protocol: tables.TCP}
)

// headStore is a platform store that holds one head and no VM list.
type headStore struct {
	value store.Value
}

func (s *headStore) Get(context.Context, string) (store.Value, error) { return s.value, nil }
func (s *headStore) Swap(context.Context, string, []byte, uint64) (uint64, error) {
	return 0, store.ErrConflict
}
func (s *headStore) VMs(context.Context) ([]store.VM, error) { return nil, nil }
func (s *headStore) Watch(ctx context.Context, _ string, after uint64) (store.Value, error) {
	if s.value.Revision > after {
		return s.value, nil
	}
	<-ctx.Done()
	return store.Value{}, ctx.Err()
}

// site is a few daemons on loopback, and the socket of a fabric.
type site struct {
	t         *testing.T
	authority *peer.Authority
	store     *headStore
	fabric    carrier.Conn
	nodes     []*Balancer
	ended     []chan error
	received  chan packet.Info
	lost      int
}

func newSite(t *testing.T, n int) *site {
	t.Helper()
	authority, err := peer.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	fabrics, err := carrier.Listen(loopback, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, authority: authority, store: headWithService(t), fabric: fabrics[0], received: make(chan packet.Info, carrier.BatchSize)}
	go s.receive()
	for i := range n {
		s.start(fmt.Sprint("vm-", i), fmt.Sprint("zone-", i%2))
	}
	t.Cleanup(func() {
		for i, b := range s.nodes {
			b.Kill()
			<-s.ended[i]
		}
		_ = s.fabric.Close()
		for range s.received {
			// wait until receive has ended
		}
	})
	return s
}

func headWithService(t *testing.T) *headStore {
	t.Helper()
	var servers []tables.Server
	for i := range 4 {
		endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 8443)
		servers = append(servers, tables.Server{Name: fmt.Sprint("s", i), Endpoint: endpoint, Zone: "zone-0"}.WithDefaults())
	}
	head, err := (&tables.Head{}).Append(tables.Delta{
		Version: 1, WriteID: tables.NewWriteID(), Author: "test", Time: time.Now(),
		Operations: []tables.Operation{
			tables.PutPool{Name: "despacho", Servers: servers},
			tables.PutRoute{Name: "despacho", Address: service, Pool: "despacho"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &headStore{value: store.Value{Data: head.Encode(), Revision: 1}}
}

func (s *site) start(name, zone string) *Balancer {
	s.t.Helper()
	credentials, err := s.authority.Issue(member.Name(name), "cartago")
	if err != nil {
		s.t.Fatal(err)
	}
	var seeds []netip.AddrPort
	for _, b := range s.nodes {
		seeds = append(seeds, b.ControlAddress())
	}
	b, err := New(Options{
		Settings: &settings.Settings{
			Name: name, Region: "cartago", Zone: zone, Capacity: 100, Data: loopback, Control: loopback,
			Fabrics: []netip.AddrPort{s.fabric.LocalAddr()}, Seeds: seeds, Workers: 1,
			MaxFlows: 1000, NewFlowsPerSecond: 10_000, ExceptionBytesPerSecond: 2048,
		},
		Store: s.store, Logger: zap.NewNop(), Credentials: credentials, LeavePeriod: time.Second,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- b.Run(context.Background()) }()
	s.nodes, s.ended = append(s.nodes, b), append(s.ended, ended)
	return b
}

// until waits for a condition on every daemon of the list.
func (s *site) until(what string, nodes []*Balancer, ok func(*peerapi.StatusResponse) bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, b := range nodes {
		for !ok(b.Status()) {
			if time.Now().After(deadline) {
				s.t.Fatalf("%s: not reached: %v", what, b.Status())
			}
			time.Sleep(20 * time.Millisecond) // real sockets: only the deadline decides
		}
	}
}

func ready(members int) func(*peerapi.StatusResponse) bool {
	return func(r *peerapi.StatusResponse) bool {
		alive := 0
		for _, m := range r.GetMembers() {
			if m.GetState() == member.Alive {
				alive++
			}
		}
		return alive == members && r.GetStanding() && r.GetTablesVersion() == 1
	}
}

// retransmitAfter is the timeout of the caller and of the servers.
const retransmitAfter = 300 * time.Millisecond

// receive reads what reaches the fabric, until its socket is closed.
func (s *site) receive() {
	in := make([]carrier.Incoming, carrier.BatchSize)
	for {
		n, err := s.fabric.ReadBatch(in)
		if err != nil {
			close(s.received)
			return
		}
		for i := range in[:n] {
			var info packet.Info
			if err := packet.Parse(in[i].Inner, &info); err != nil {
				s.t.Errorf("delivered packet is invalid: %v", err)
			}
			s.received <- info
		}
	}
}

// exchange sends a segment through one daemon, as often as a real end would,
// and returns what reaches the fabric.
func (s *site) exchange(b *Balancer, segment []byte) packet.Info {
	s.t.Helper()
	for range 30 {
		if _, err := s.fabric.WriteBatch([]carrier.Outgoing{{Inner: segment, To: b.DataAddress()}}); err != nil {
			s.t.Fatal(err)
		}
		select {
		case info := <-s.received:
			return info
		case <-time.After(retransmitAfter):
			s.lost++
		}
	}
	for _, n := range s.nodes {
		s.t.Logf("%s: %v", n.settings.Name, n.Status().GetCounters())
	}
	s.t.Fatalf("no answer through %q", b.settings.Name)
	return packet.Info{}
}

func segment(src, dst netip.AddrPort, syn, ack bool) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: src.Addr().AsSlice(), DstIP: dst.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()), Seq: 1, SYN: syn, ACK: ack}
	_ = tcp.SetNetworkLayerForChecksum(ip) // cannot fail for IPv4
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, tcp); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// Guards against daemons that do not work together over real sockets: a flow
// that changes its server when its packets arrive at other daemons, when its
// owner leaves, or when its owner is killed.
func TestFlowsSurviveLeavingAndKilledDaemons(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("site", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 4)
		s.until("all daemons know each other and the tables", s.nodes, ready(4))

		servers := make(map[netip.AddrPort]netip.AddrPort)
		for i := range 40 {
			caller := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), uint16(20000+i))
			server := s.exchange(s.nodes[i%4], segment(caller, service.AddrPort, true, false)).Dst
			answer := s.exchange(s.nodes[(i+1)%4], segment(server, caller, true, true))
			is.Equal(answer.Src, service.AddrPort)
			servers[caller] = server
		}
		check := func(nodes []*Balancer) {
			t.Helper()
			for caller, server := range servers {
				for _, b := range nodes {
					is.Equal(s.exchange(b, segment(caller, service.AddrPort, false, true)).Dst, server)
					is.Equal(s.exchange(b, segment(server, caller, false, true)).Src, service.AddrPort)
				}
			}
		}
		check(s.nodes)

		is.NoErr(s.nodes[3].Leave(context.Background()))
		check(s.nodes[:3])

		s.nodes[2].Kill()
		s.until("the killed daemon is declared dead", s.nodes[:2], ready(2))
		check(s.nodes[:2])
	})
}
