package packet

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
)

// spec describes a packet that is built with gopacket.
type spec struct {
	protocol tables.Protocol
	src, dst netip.AddrPort
	flags    uint8
	seq, ack uint32
	payload  []byte
}

var (
	ap          = netip.MustParseAddrPort
	caller4     = ap("10.1.2.3:40001")
	service4    = ap("192.0.2.10:443")
	server4     = ap("10.9.8.7:8443")
	caller6     = ap("[2001:db8::3]:40001")
	service6    = ap("[2001:db8:1::10]:443")
	server6     = ap("[2001:db8:2::7]:8443")
	router4     = netip.MustParseAddr("203.0.113.1")
	router6     = netip.MustParseAddr("2001:db8:3::1")
	addressSets = [][3]netip.AddrPort{{caller4, service4, server4}, {caller6, service6, server6}}
)

// build returns the packet, with lengths and checksums computed by gopacket.
func build(t testing.TB, s spec) []byte {
	ip := ipLayer(s.src.Addr(), s.dst.Addr(), layers.IPProtocol(s.protocol))
	var transport gopacket.SerializableLayer
	if s.protocol == tables.TCP {
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(s.src.Port()), DstPort: layers.TCPPort(s.dst.Port()), Seq: s.seq, Ack: s.ack,
			FIN: s.flags&FlagFIN != 0, SYN: s.flags&FlagSYN != 0, RST: s.flags&FlagRST != 0,
			PSH: s.flags&FlagPSH != 0, ACK: s.flags&FlagACK != 0, Window: 512,
		}
		is.New(t).NoErr(tcp.SetNetworkLayerForChecksum(ip.(gopacket.NetworkLayer)))
		transport = tcp
	} else {
		udp := &layers.UDP{SrcPort: layers.UDPPort(s.src.Port()), DstPort: layers.UDPPort(s.dst.Port())}
		is.New(t).NoErr(udp.SetNetworkLayerForChecksum(ip.(gopacket.NetworkLayer)))
		transport = udp
	}
	return serialize(t, ip, transport, gopacket.Payload(s.payload))
}

// buildICMPError returns an ICMP error that embeds a packet and reports that it is
// too big.
func buildICMPError(t testing.TB, src, dst netip.Addr, embedded []byte) []byte {
	if src.Is4() {
		icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(icmpv4Unreachable, 4), Seq: 1400}
		return serialize(t, ipLayer(src, dst, layers.IPProtocolICMPv4), icmp, gopacket.Payload(embedded))
	}
	ip := ipLayer(src, dst, layers.IPProtocolICMPv6)
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(icmpv6PacketTooBig, 0)}
	is.New(t).NoErr(icmp.SetNetworkLayerForChecksum(ip.(gopacket.NetworkLayer)))
	return serialize(t, ip, icmp, gopacket.Payload(append([]byte{0, 0, 5, 120}, embedded...)))
}

func ipLayer(src, dst netip.Addr, p layers.IPProtocol) gopacket.SerializableLayer {
	if src.Is4() {
		return &layers.IPv4{Version: 4, TTL: 61, Id: 7, Protocol: p, SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
	}
	return &layers.IPv6{Version: 6, HopLimit: 61, NextHeader: p, SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
}

func serialize(t testing.TB, l ...gopacket.SerializableLayer) []byte {
	b := gopacket.NewSerializeBuffer()
	is.New(t).NoErr(gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, l...))
	return b.Bytes()
}

// decodeVerified decodes a packet with gopacket and verifies every checksum.
func decodeVerified(t testing.TB, b []byte) gopacket.Packet {
	is := is.New(t)
	first := gopacket.Decoder(layers.LayerTypeIPv4)
	if b[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	p := gopacket.NewPacket(b, first, gopacket.Default)
	is.True(p.ErrorLayer() == nil)
	for _, l := range p.Layers() {
		if c, ok := l.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		}); ok {
			is.NoErr(c.SetNetworkLayerForChecksum(p.NetworkLayer()))
		}
	}
	err, wrong := p.VerifyChecksums()
	is.NoErr(err)
	is.Equal(len(wrong), 0)
	return p
}

func mustParse(t testing.TB, b []byte) Info {
	var info Info
	is.New(t).NoErr(Parse(b[:len(b):len(b)], &info))
	return info
}
