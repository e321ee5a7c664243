// Package fabrictest provides a minimal stateless balancer for tests that use the
// simulated network.
package fabrictest

import (
	"hash/fnv"
	"net/netip"
	"testing"

	"github.com/sourcegraph/conc"

	"knapweedshore.example/standin/fabric/inet"
)

// Service is the address of a service and its servers. A server belongs to one
// service only.
type Service struct {
	Address netip.AddrPort
	Servers []netip.AddrPort
}

// Balancer chooses the server of a flow by a hash of the caller's address. It
// keeps no state, so several balancers choose the same server. It does not handle
// server failures, overload or changes of the configuration.
type Balancer struct {
	conn      *geneveConn
	fabric    netip.AddrPort
	services  []Service
	misbehave Misbehaviour
	worker    conc.WaitGroup
}

// Misbehaviour returns the packets that a Balancer sends in place of a rewritten
// packet. The arguments are the packet before and after its address was
// rewritten.
type Misbehaviour func(before, after inet.Packet) [][]byte

// Start runs a balancer until the test ends. With a nil misbehave it sends each
// rewritten packet unchanged.
func Start(t testing.TB, fabric netip.AddrPort, services []Service, misbehave Misbehaviour) *Balancer {
	t.Helper()
	conn, err := listenGeneve(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	b := &Balancer{conn: conn, fabric: fabric, services: services, misbehave: misbehave}
	b.worker.Go(b.run)
	t.Cleanup(b.Stop)
	return b
}

// Addr returns the balancer's data address.
func (b *Balancer) Addr() netip.AddrPort { return b.conn.addr() }

// Stop closes the socket and waits for the balancer to end.
func (b *Balancer) Stop() {
	_ = b.conn.conn.Close()
	b.worker.Wait()
}

func (b *Balancer) run() {
	buf := make([]byte, maxDatagramBytes)
	for {
		packet, _, err := b.conn.read(buf)
		if err != nil {
			return
		}
		if p, err := inet.Parse(packet); err == nil {
			b.handle(p)
		}
	}
}

func (b *Balancer) handle(p *inet.Packet) {
	before := *p
	if !b.rewrite(p) {
		return
	}
	out := Build(*p)
	if b.misbehave != nil {
		out = b.misbehave(before, *p)
	}
	for _, packet := range out {
		_ = b.conn.write(packet, b.fabric) // packets may be lost, as on any network
	}
}

// Build encodes packets and omits those that cannot be encoded.
func Build(packets ...inet.Packet) [][]byte {
	var out [][]byte
	for i := range packets {
		if packet, err := inet.Build(&packets[i]); err == nil {
			out = append(out, packet)
		}
	}
	return out
}

// rewrite replaces the destination of a request or the source of a response. It
// reports whether the packet belongs to a service.
func (b *Balancer) rewrite(p *inet.Packet) bool {
	for _, s := range b.services {
		if p.Dst == s.Address {
			p.Dst = s.Servers[hashAddr(p.Src)%uint32(len(s.Servers))]
			return true
		}
		for _, server := range s.Servers {
			if p.Src == server {
				p.Src = s.Address
				return true
			}
		}
	}
	return false
}

func hashAddr(addr netip.AddrPort) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(addr.String())) // hash.Hash never returns an error
	return h.Sum32()
}
