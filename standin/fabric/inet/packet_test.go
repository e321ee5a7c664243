package inet

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func parsePair(src, dst string) (netip.AddrPort, netip.AddrPort) {
	return netip.MustParseAddrPort(src), netip.MustParseAddrPort(dst)
}

// Guards against Build and Parse disagreeing about a header, and against Parse
// accepting a damaged packet.
func TestBuiltPacketsParseAndDamagedOnesDoNot(t *testing.T) {
	is := is.New(t)
	for _, endpoints := range [][2]string{{"10.0.0.1:40000", "10.9.0.1:443"}, {"[fd00::1]:40000", "[fd00::9]:443"}} {
		src, dst := parsePair(endpoints[0], endpoints[1])
		for _, p := range []*Packet{
			{Protocol: UDP, Src: src, Dst: dst, Payload: []byte("odd")},
			{Protocol: TCP, Src: src, Dst: dst, Seq: 7, Ack: 9, Flags: SYN | ACK, Window: 100, Payload: []byte("data")},
		} {
			b, err := Build(p)
			is.NoErr(err)
			got, err := Parse(b)
			is.NoErr(err)
			is.Equal(got, p)

			damaged := bytes.Clone(b)
			damaged[len(damaged)-1] ^= 1
			_, err = Parse(damaged)
			is.True(err != nil) // damaged payload

			icmp, err := BuildUnreachable(p, b)
			is.NoErr(err)
			m, err := Parse(icmp)
			is.NoErr(err)
			is.Equal(*m.Unreachable, QuotedPacket{Protocol: p.Protocol, Src: src, Dst: dst})
			is.Equal(m.Dst.Addr(), src.Addr())
		}
	}
}
