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

const waitTimeout = 30 * time.Second

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	service  = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.1:443"), Protocol: tables.TCP}
)

// headStore is a platform store with one head and an empty list of VMs.
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

// cluster is a group of daemons on loopback and the socket of a fabric.
type cluster struct {
	t               *testing.T
	authority       *peer.Authority
	store           *headStore
	fabric          carrier.Conn
	nodes           []*Balancer
	runErrs         []chan error
	received        chan packet.Info
	retransmissions int
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	authority, err := peer.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	fabrics, err := carrier.Listen(loopback, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, authority: authority, store: storeWithService(t), fabric: fabrics[0], received: make(chan packet.Info, carrier.BatchSize)}
	go c.receive()
	for i := range n {
		c.start(fmt.Sprint("vm-", i), fmt.Sprint("zone-", i%2))
	}
	t.Cleanup(func() {
		for i, b := range c.nodes {
			b.Kill()
			<-c.runErrs[i]
		}
		_ = c.fabric.Close()
		for range c.received {
			// wait until receive has returned
		}
	})
	return c
}

func storeWithService(t *testing.T) *headStore {
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

func (c *cluster) start(name, zone string) *Balancer {
	c.t.Helper()
	credentials, err := c.authority.Issue(member.Name(name), "cartago")
	if err != nil {
		c.t.Fatal(err)
	}
	var seeds []netip.AddrPort
	for _, b := range c.nodes {
		seeds = append(seeds, b.ControlAddress())
	}
	b, err := New(Options{
		Settings: &settings.Settings{
			Name: name, Region: "cartago", Zone: zone, Capacity: 100, Data: loopback, Control: loopback,
			Fabrics: []netip.AddrPort{c.fabric.LocalAddr()}, Seeds: seeds, Workers: 1,
			MaxFlows: 1000, NewFlowsPerSecond: 10_000, ExceptionBytesPerSecond: 2048,
		},
		Store: c.store, Logger: zap.NewNop(), Credentials: credentials, LeavePeriod: time.Second,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	runErr := make(chan error, 1)
	go func() { runErr <- b.Run(context.Background()) }()
	c.nodes, c.runErrs = append(c.nodes, b), append(c.runErrs, runErr)
	return b
}

// waitFor waits until ok holds for the status of each of nodes.
func (c *cluster) waitFor(description string, nodes []*Balancer, ok func(*peerapi.StatusResponse) bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for _, b := range nodes {
		for !ok(b.Status()) {
			if time.Now().After(deadline) {
				c.t.Fatalf("%s: not reached: %v", description, b.Status())
			}
			time.Sleep(20 * time.Millisecond) // real sockets, so the test polls
		}
	}
}

// ready returns a check that a daemon sees this number of live members, is eligible
// and has the tables.
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

// retransmitTimeout is the retransmission timeout of the caller and the servers.
const retransmitTimeout = 300 * time.Millisecond

// receive reads the packets that reach the fabric, until its socket is closed.
func (c *cluster) receive() {
	in := make([]carrier.Incoming, carrier.BatchSize)
	for {
		n, err := c.fabric.ReadBatch(in)
		if err != nil {
			close(c.received)
			return
		}
		for i := range in[:n] {
			var info packet.Info
			if err := packet.Parse(in[i].Inner, &info); err != nil {
				c.t.Errorf("delivered packet is invalid: %v", err)
			}
			c.received <- info
		}
	}
}

// exchange sends a segment through one daemon, with retransmissions, and returns
// the packet that reaches the fabric.
func (c *cluster) exchange(b *Balancer, segment []byte) packet.Info {
	c.t.Helper()
	for range 30 {
		if _, err := c.fabric.WriteBatch([]carrier.Outgoing{{Inner: segment, To: b.DataAddress()}}); err != nil {
			c.t.Fatal(err)
		}
		select {
		case info := <-c.received:
			return info
		case <-time.After(retransmitTimeout):
			c.retransmissions++
		}
	}
	for _, n := range c.nodes {
		c.t.Logf("%s: %v", n.settings.Name, n.Status().GetCounters())
	}
	c.t.Fatalf("no packet arrived through %q", b.settings.Name)
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

// Guards against a flow that changes its server when its packets arrive at other
// daemons, when its owner leaves, or when its owner is killed. The daemons use real
// sockets.
func TestFlowsSurviveLeavingAndKilledDaemons(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("site", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		c.waitFor("all daemons know each other and the tables", c.nodes, ready(4))

		servers := make(map[netip.AddrPort]netip.AddrPort)
		for i := range 40 {
			caller := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), uint16(20000+i))
			server := c.exchange(c.nodes[i%4], segment(caller, service.AddrPort, true, false)).Dst
			response := c.exchange(c.nodes[(i+1)%4], segment(server, caller, true, true))
			is.Equal(response.Src, service.AddrPort)
			servers[caller] = server
		}
		check := func(nodes []*Balancer) {
			t.Helper()
			for caller, server := range servers {
				for _, b := range nodes {
					is.Equal(c.exchange(b, segment(caller, service.AddrPort, false, true)).Dst, server)
					is.Equal(c.exchange(b, segment(server, caller, false, true)).Src, service.AddrPort)
				}
			}
		}
		check(c.nodes)

		is.NoErr(c.nodes[3].Leave(context.Background()))
		check(c.nodes[:3])

		c.nodes[2].Kill()
		c.waitFor("the killed daemon is declared dead", c.nodes[:2], ready(2))
		check(c.nodes[:2])
	})
}
