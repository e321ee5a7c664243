// Package fabrictest has a trivial balancer for tests of the stand-ins.
package fabrictest

import (
	"hash/fnv"
	"net/netip"
	"testing"

	"github.com/sourcegraph/conc"

	"knapweedshore.example/standin/fabric/inet"
)

// Service is an address with its servers, which serve no other address.
type Service struct {
	Address netip.AddrPort
	Servers []netip.AddrPort
}

// Balancer rewrites destinations by a hash of the caller, without state, so
// that several of them agree. It knows no faults, overload or changes.
type Balancer struct {
	conn      *geneve
	fabric    netip.AddrPort
	services  []Service
	misbehave Misbehaviour
	worker    conc.WaitGroup
}

// Misbehaviour returns what is sent instead of a packet, given before and
// after its address was rewritten.
type Misbehaviour func(before, after inet.Packet) [][]byte

// Start runs a balancer until the test ends. misbehave may be nil.
func Start(t testing.TB, fabric netip.AddrPort, services []Service, misbehave Misbehaviour) *Balancer {
	t.Helper()
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	b := &Balancer{conn: conn, fabric: fabric, services: services, misbehave: misbehave}
	b.worker.Go(b.run)
	t.Cleanup(b.Stop)
	return b
}

// Addr returns the data address.
func (b *Balancer) Addr() netip.AddrPort { return b.conn.addr() }

// Stop closes the socket at once.
func (b *Balancer) Stop() {
	_ = b.conn.conn.Close()
	b.worker.Wait()
}

func (b *Balancer) run() {
	buf := make([]byte, maxDatagram)
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
		_ = b.conn.write(packet, b.fabric) // lost, as on any network
	}
}

// Build encodes packets; those that cannot be encoded are left out.
func Build(packets ...inet.Packet) [][]byte {
	var out [][]byte
	for i := range packets {
		if packet, err := inet.Build(&packets[i]); err == nil {
			out = append(out, packet)
		}
	}
	return out
}

func (b *Balancer) rewrite(p *inet.Packet) bool {
	for _, s := range b.services {
		if p.Dst == s.Address {
			p.Dst = s.Servers[hash(p.Src)%uint32(len(s.Servers))]
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

func hash(a netip.AddrPort) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.String())) // a hash does not fail
	return h.Sum32()
}
