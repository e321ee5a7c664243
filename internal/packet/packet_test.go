package packet

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
)

func drawEndpoint(t *rapid.T, v6 bool, label string) netip.AddrPort {
	port := rapid.Uint16().Draw(t, label+" port")
	if v6 {
		a := [16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label))
		a[0] = 0x20
		return netip.AddrPortFrom(netip.AddrFrom16(a), port)
	}
	a := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label))
	a[0] = a[0]%223 + 1
	return netip.AddrPortFrom(netip.AddrFrom4(a), port)
}

func drawSpec(t *rapid.T, v6 bool) spec {
	return spec{
		protocol: rapid.SampledFrom([]tables.Protocol{tables.TCP, tables.UDP}).Draw(t, "protocol"),
		src:      drawEndpoint(t, v6, "src"), dst: drawEndpoint(t, v6, "dst"),
		seq: rapid.Uint32().Draw(t, "seq"), flags: rapid.Uint8Max(31).Draw(t, "flags"),
		payload: rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "payload"),
	}
}

// Guards against a rewrite that leaves a wrong checksum or changes other bytes: the
// result must equal the packet that gopacket builds for the new addresses.
func TestRewriteEqualsPacketBuiltAnew(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		v6 := rapid.Bool().Draw(r, "v6")
		s := drawSpec(r, v6)
		b := build(t, s)
		info := mustParse(t, b)
		is.Equal(info.PayloadLen, len(s.payload))
		is.Equal([]any{info.Protocol, info.Src, info.Dst}, []any{s.protocol, s.src, s.dst})
		s.dst, s.src = drawEndpoint(r, v6, "new dst"), drawEndpoint(r, v6, "new src")
		RewriteDestination(b, &info, s.dst)
		RewriteSource(b, &info, s.src)
		is.Equal(b, build(t, s))
		is.Equal(info, mustParse(t, b))
	})
}

// Guards against an ICMP error whose embedded packet the server does not recognise
// as its own, for every length of the embedded part. The length that ends in the
// middle of the TCP checksum is left out: half a checksum cannot be updated, and
// nobody can verify it.
func TestRewriteICMPErrorEqualsErrorBuiltAnew(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		v6 := rapid.Bool().Draw(r, "v6")
		s := drawSpec(r, v6)
		router, headers := router4, ipv4HeaderLen
		if v6 {
			router, headers = router6, ipv6HeaderLen
		}
		sent := build(t, s)
		cut := rapid.IntRange(headers+embeddedMinLen, len(sent)).Filter(func(n int) bool {
			return s.protocol != tables.TCP || n != headers+tcpChecksum+1
		}).Draw(r, "embedded")
		b := buildICMPError(t, router, s.src.Addr(), sent[:cut])
		info := mustParse(t, b)
		is.True(info.ICMPError)
		is.Equal([]any{info.Protocol, info.Src, info.Dst}, []any{s.protocol, s.src, s.dst})
		s.src = drawEndpoint(r, v6, "server")
		RewriteICMPError(b, &info, s.src.Addr(), s.src)
		is.Equal(b, buildICMPError(t, router, s.src.Addr(), build(t, s)[:cut]))
		is.Equal(info, mustParse(t, b))
	})
}

// Guards against an ICMP error about a request whose embedded packet the caller does
// not recognise as its own.
func TestRewriteICMPErrorDestinationEqualsErrorBuiltAnew(t *testing.T) {
	routers := []netip.Addr{router4, router6}
	for i, a := range addressSets {
		for _, p := range []tables.Protocol{tables.TCP, tables.UDP} {
			is := is.New(t)
			request := func(to netip.AddrPort) []byte {
				return build(t, spec{protocol: p, src: a[0], dst: to, flags: FlagACK, payload: []byte("request")})
			}
			b := buildICMPError(t, routers[i], a[0].Addr(), request(a[2]))
			info := mustParse(t, b)
			RewriteICMPErrorDestination(b, &info, a[1])
			is.Equal(b, buildICMPError(t, routers[i], a[0].Addr(), request(a[1])))
			is.Equal(info, mustParse(t, b))
		}
	}
}

// Guards against counting IPv4 options or padding as payload, and against an ICMP
// error that embeds the padding.
func TestOptionsAndPadding(t *testing.T) {
	is := is.New(t)
	ip := ipLayer(caller4.Addr(), service4.Addr(), layers.IPProtocolUDP).(*layers.IPv4)
	ip.Options = []layers.IPv4Option{{OptionType: 1}, {OptionType: 1}, {OptionType: 1}, {OptionType: 0}}
	udp := &layers.UDP{SrcPort: 40001, DstPort: 443}
	is.NoErr(udp.SetNetworkLayerForChecksum(ip))
	sent := serialize(t, ip, udp, gopacket.Payload("abc"))
	b := append(sent, 0, 0, 0, 0, 0)
	info := mustParse(t, b)
	is.Equal([]any{info.Src, info.Dst}, []any{caller4, service4})
	is.Equal([]int{info.PayloadLen, info.Length}, []int{3, len(sent)})
	RewriteDestination(b, &info, server4)
	decodeVerified(t, b[:info.Length])
	reply := AppendPortUnreachable(nil, b, &info)
	is.Equal(len(reply), ipv4HeaderLen+icmpHeaderLen+len(sent))
}

// Guards against a UDP datagram without a checksum that gets one by rewriting, and
// against a computed checksum of 0, which would mean that there is none.
func TestUDPChecksumZero(t *testing.T) {
	is := is.New(t)
	b := build(t, spec{protocol: tables.UDP, src: caller4, dst: service4})
	b[ipv4HeaderLen+udpChecksum], b[ipv4HeaderLen+udpChecksum+1] = 0, 0
	info := mustParse(t, b)
	RewriteDestination(b, &info, server4)
	is.Equal(be.Uint16(b[ipv4HeaderLen+udpChecksum:]), uint16(0))

	allOnes := 0 // one of the 65,536 destination ports makes the sum 0
	for port := range 1 << 16 {
		s := spec{protocol: tables.UDP, src: caller4, dst: service4}
		b := build(t, s)
		info := mustParse(t, b)
		s.dst = netip.AddrPortFrom(server4.Addr(), uint16(port))
		RewriteDestination(b, &info, s.dst)
		if sum := be.Uint16(b[ipv4HeaderLen+udpChecksum:]); sum == 0xffff {
			allOnes++
			is.Equal(b, build(t, s))
		} else {
			is.True(sum != 0)
		}
	}
	is.Equal(allOnes, 1)
}

// Guards against a RST that the caller's TCP ignores because its sequence and
// acknowledgement numbers do not match the segment.
func TestAppendReset(t *testing.T) {
	tests := []struct {
		name     string
		flags    uint8
		payload  int
		seq, ack uint32
		want     uint8
	}{
		{"SYN", FlagSYN, 0, 0, 101, FlagRST | FlagACK},
		{"SYN with data", FlagSYN, 5, 0, 106, FlagRST | FlagACK},
		{"FIN without ACK", FlagFIN, 2, 0, 103, FlagRST | FlagACK},
		{"data", FlagACK | FlagPSH, 9, 900, 0, FlagRST},
		{"SYN-ACK", FlagSYN | FlagACK, 0, 900, 0, FlagRST},
	}
	for _, a := range addressSets {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				b := build(t, spec{protocol: tables.TCP, src: a[0], dst: a[1], flags: tt.flags, seq: 100, ack: 900, payload: make([]byte, tt.payload)})
				info := mustParse(t, b)
				out := AppendReset([]byte{1, 2, 3}, b, &info)
				is.Equal(out[:3], []byte{1, 2, 3})
				tcp := decodeVerified(t, out[3:]).TransportLayer().(*layers.TCP)
				is.Equal([]uint32{tcp.Seq, tcp.Ack}, []uint32{tt.seq, tt.ack})
				reply := mustParse(t, out[3:])
				is.Equal(reply.TCPFlags, tt.want)
				is.Equal([]any{reply.Src, reply.Dst, reply.PayloadLen}, []any{a[1], a[0], 0})
			})
		}
	}
}

// Guards against replying to a RST or an ICMP error, which could go on without end.
func TestNoAnswerToResetOrError(t *testing.T) {
	is := is.New(t)
	b := build(t, spec{protocol: tables.TCP, src: caller4, dst: service4, flags: FlagRST | FlagACK})
	info := mustParse(t, b)
	is.Equal(len(AppendReset(nil, b, &info)), 0)
	b = buildICMPError(t, router4, caller4.Addr(), b)
	info = mustParse(t, b)
	is.Equal(len(AppendReset(nil, b, &info)), 0)
	is.Equal(len(AppendPortUnreachable(nil, b, &info)), 0)
}

// Guards against a port unreachable error that the caller cannot match to its
// datagram, or that is longer than the RFCs allow.
func TestAppendPortUnreachable(t *testing.T) {
	limits := []int{576, 1280}
	for i, a := range addressSets {
		for _, payload := range []int{0, 31, 1400} {
			is := is.New(t)
			b := build(t, spec{protocol: tables.UDP, src: a[0], dst: a[1], payload: bytes.Repeat([]byte{0xa7}, payload)})
			info := mustParse(t, b)
			out := AppendPortUnreachable(nil, b, &info)
			p := decodeVerified(t, out)
			if icmp, ok := p.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); ok {
				is.Equal(icmp.TypeCode, layers.CreateICMPv4TypeCode(3, 3))
			} else {
				icmp := p.Layer(layers.LayerTypeICMPv6).(*layers.ICMPv6)
				is.Equal(icmp.TypeCode, layers.CreateICMPv6TypeCode(1, 4))
			}
			reply := mustParse(t, out)
			is.Equal([]any{reply.ICMPError, reply.Src, reply.Dst}, []any{true, a[0], a[1]})
			is.Equal([]any{reply.OuterSrc, reply.OuterDst}, []any{a[1].Addr(), a[0].Addr()})
			is.True(bytes.HasPrefix(b, out[reply.embeddedIP:]))
			is.Equal(len(out), min(limits[i], len(b)+reply.embeddedIP))
		}
	}
}

// Guards against accepting a damaged, truncated or unsupported packet, or counting
// it under another reason.
func TestParseRefuses(t *testing.T) {
	set := func(offset int, v ...byte) func([]byte) []byte {
		return func(b []byte) []byte { copy(b[offset:], v); return b }
	}
	cut := func(n int) func([]byte) []byte { return func(b []byte) []byte { return b[:n] } }
	// The IP header of the packet has 20 or 40 bytes.
	tests := []struct {
		name   string
		v6     bool
		p      tables.Protocol
		change func([]byte) []byte
		want   *RefusalError
	}{
		{"empty", false, tables.TCP, cut(0), errShortIP},
		{"version", false, tables.TCP, set(0, 0x55), errVersion},
		{"IPv4 header length", false, tables.TCP, set(0, 0x44), errHeaderLength},
		{"IPv4 total length", false, tables.TCP, set(2, 0, 19), errTotalLength},
		{"IPv4 options cut", false, tables.TCP, func(b []byte) []byte { b[0], b[3] = 0x4f, 60; return b[:40] }, errShortIP},
		{"IPv4 header cut", false, tables.TCP, cut(19), errShortIP},
		{"IPv4 payload cut", false, tables.TCP, cut(41), errShortPacket},
		{"IPv4 checksum", false, tables.TCP, set(10, 0, 0), errHeaderChecksum},
		{"IPv4 first fragment", false, tables.TCP, set(6, 0x20, 0), errFragment},
		{"IPv4 later fragment", false, tables.TCP, set(6, 0, 9), errFragment},
		{"IPv4 multicast source", false, tables.TCP, set(12, 224), errAddress},
		{"IPv4 unspecified destination", false, tables.TCP, set(16, 0, 0, 0, 0), errAddress},
		{"IPv4 ICMPv6", false, tables.TCP, set(9, protoICMPv6), errProtocol},
		{"IPv4 echo", false, tables.TCP, func(b []byte) []byte { b[9], b[20] = protoICMP, 8; return b }, errICMPType},
		{"IPv4 redirect", false, tables.TCP, func(b []byte) []byte { b[9], b[20] = protoICMP, 5; return b }, errICMPType},
		{"TCP header length", false, tables.TCP, set(32, 0x40), errTCPOffset},
		{"TCP options cut", false, tables.TCP, set(32, 0xf0), errShortTCP},
		{"TCP header cut", false, tables.TCP, func(b []byte) []byte { b[3] = 39; return b[:39] }, errShortTCP},
		{"UDP length short", false, tables.UDP, set(24, 0, 7), errUDPLength},
		{"UDP length long", false, tables.UDP, set(24, 1, 0), errUDPLength},
		{"UDP header cut", false, tables.UDP, func(b []byte) []byte { b[3] = 27; return b[:27] }, errShortUDP},
		{"ICMP header cut", false, tables.TCP, func(b []byte) []byte { b[3], b[9] = 27, protoICMP; return b }, errShortICMP},
		{"IPv6 header cut", true, tables.TCP, cut(39), errShortIP},
		{"IPv6 payload cut", true, tables.TCP, cut(61), errShortPacket},
		{"IPv6 fragment", true, tables.TCP, set(6, protoFragment), errFragment},
		{"IPv6 hop-by-hop options", true, tables.TCP, set(6, 0), errProtocol},
		{"IPv6 ICMPv4", true, tables.TCP, set(6, protoICMP), errProtocol},
		{"IPv6 neighbour solicitation", true, tables.TCP, func(b []byte) []byte { b[6], b[40] = protoICMPv6, 135; return b }, errICMPType},
		{"IPv6 multicast destination", true, tables.TCP, set(24, 0xff), errAddress},
		{"IPv6 mapped source", true, tables.TCP, set(8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff), errAddress},
		{"UDP over IPv6 without checksum", true, tables.UDP, set(46, 0, 0), errUDPChecksum},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := addressSets[0]
			if tt.v6 {
				a = addressSets[1]
			}
			b := tt.change(build(t, spec{protocol: tt.p, src: a[0], dst: a[1], payload: []byte("request")}))
			if tt.want != errHeaderChecksum {
				fixHeaderChecksum(b)
			}
			requireRefused(t, b, tt.want)
		})
	}
}

// Guards against an ICMP error that is forwarded by an embedded header that is
// truncated, of another protocol or not from the error's destination.
func TestParseRefusesEmbedded(t *testing.T) {
	tests := []struct {
		name   string
		change func(e []byte) []byte
		want   *RefusalError
	}{
		{"cut IP header", func(e []byte) []byte { return e[:19] }, errShortEmbedded},
		{"cut ports", func(e []byte) []byte { return e[:27] }, errShortEmbedded},
		{"none", func(e []byte) []byte { return nil }, errShortEmbedded},
		{"later fragment", func(e []byte) []byte { e[7] = 1; return e }, errEmbeddedFragment},
		{"ICMP", func(e []byte) []byte { e[9] = protoICMP; return e }, errEmbeddedProtocol},
		{"IPv6", func(e []byte) []byte { e[0] = 0x60; return e }, errEmbeddedVersion},
		{"multicast", func(e []byte) []byte { e[16] = 230; return e }, errAddress},
		{"another source", func(e []byte) []byte { e[15]++; return e }, errEmbeddedSource},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := build(t, spec{protocol: tables.TCP, src: service4, dst: caller4, payload: []byte("response")})
			requireRefused(t, buildICMPError(t, router4, service4.Addr(), tt.change(e)), tt.want)
		})
	}
}

func fixHeaderChecksum(b []byte) {
	if len(b) < ipv4HeaderLen || b[0]>>4 != 4 || len(b) < int(b[0]&15)*4 {
		return
	}
	be.PutUint16(b[ipv4Checksum:], 0)
	be.PutUint16(b[ipv4Checksum:], Checksum(b[:int(b[0]&15)*4]))
}

func requireRefused(t *testing.T, b []byte, want *RefusalError) {
	is := is.New(t)
	var info Info
	err := Parse(b[:len(b):len(b)], &info)
	var got *RefusalError
	is.True(errors.As(err, &got))
	is.Equal(got.Error(), want.Error())
	known := map[metrics.Reason]bool{metrics.Malformed: true, metrics.Truncated: true, metrics.Fragment: true, metrics.UnsupportedHeader: true}
	is.True(known[got.Reason])
}

// Guards against a packet that is sent to its old destination.
func TestRewriteToOtherIPVersionPanics(t *testing.T) {
	for i, a := range addressSets {
		func() {
			defer func() { is.New(t).True(recover() != nil) }()
			b := build(t, spec{protocol: tables.TCP, src: a[0], dst: a[1]})
			info := mustParse(t, b)
			RewriteDestination(b, &info, addressSets[1-i][2])
		}()
	}
}
