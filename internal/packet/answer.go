package packet

import "net/netip"

const (
	// answerTTL is the hop limit of packets built here: the value that RFC 1700
	// recommends and common hosts use.
	answerTTL = 64
	// maxICMPv4 and maxICMPv6 bound the length of an ICMP error with the packet
	// it embeds (RFC 1812 section 4.3.2.3, RFC 4443 section 2.4).
	maxICMPv4 = 576
	maxICMPv6 = 1280
)

// AppendReset appends to dst the RST that refuses the TCP segment b (RFC 9293,
// section 3.10.7.1), from b's destination to b's source, and returns the
// extended slice. Both b and info must be as parsed, before any rewriting. It
// appends nothing for a RST, which must not be answered, and for a packet that
// is not a TCP segment.
func AppendReset(dst, b []byte, info *Info) []byte {
	if info.ICMPError || info.Protocol != protoTCP || info.TCPFlags&FlagRST != 0 {
		return dst
	}
	dst, start := appendIP(dst, info, info.Dst.Addr(), tcpHeaderLen, protoTCP)
	var t [tcpHeaderLen]byte
	be.PutUint16(t[srcPort:], info.Dst.Port())
	be.PutUint16(t[dstPort:], info.Src.Port())
	t[12] = tcpHeaderLen / 4 << 4
	putReset(t[:], b[info.transport:], info)
	dst = append(dst, t[:]...)
	finishTransport(dst[start:], info.v6, protoTCP, tcpChecksum)
	return dst
}

// putReset sets sequence number, acknowledgement and flags.
func putReset(t, segment []byte, info *Info) {
	const seq, ack, flags = 4, 8, 13
	if info.TCPFlags&FlagACK != 0 {
		copy(t[seq:seq+4], segment[ack:])
		t[flags] = FlagRST
		return
	}
	length := uint32(info.PayloadLen)
	if info.TCPFlags&FlagSYN != 0 {
		length++
	}
	if info.TCPFlags&FlagFIN != 0 {
		length++
	}
	be.PutUint32(t[ack:], be.Uint32(segment[seq:])+length)
	t[flags] = FlagRST | FlagACK
}

// AppendPortUnreachable appends to dst the ICMP or ICMPv6 port unreachable
// that refuses the datagram b, from b's destination to b's source, and returns
// the extended slice. Both b and info must be as parsed, before any rewriting.
// It appends nothing for an ICMP error, which must not be answered.
func AppendPortUnreachable(dst, b []byte, info *Info) []byte {
	if info.ICMPError {
		return dst
	}
	header, limit := ipv4HeaderLen, maxICMPv4
	typ, code, protocol := byte(icmpv4Unreachable), byte(icmpv4PortUnreachable), byte(protoICMP)
	if info.v6 {
		header, limit = ipv6HeaderLen, maxICMPv6
		typ, code, protocol = icmpv6Unreachable, icmpv6PortUnreachable, protoICMPv6
	}
	embedded := b[:min(info.Length, limit-header-icmpHeaderLen)]
	dst, start := appendIP(dst, info, info.Dst.Addr(), icmpHeaderLen+len(embedded), protocol)
	dst = append(dst, typ, code, 0, 0, 0, 0, 0, 0)
	dst = append(dst, embedded...)
	finishTransport(dst[start:], info.v6, protocol, icmpChecksum)
	return dst
}

// appendIP appends an IP header for payload bytes from src to the packet's
// source, and returns the extended slice and the start of the header.
func appendIP(dst []byte, info *Info, src netip.Addr, payload int, protocol byte) ([]byte, int) {
	start := len(dst)
	to := info.Src.Addr()
	if info.v6 {
		var h [ipv6HeaderLen]byte
		h[0] = 6 << 4
		be.PutUint16(h[4:], uint16(payload))
		h[6], h[7] = protocol, answerTTL
		s, d := src.As16(), to.As16()
		copy(h[ipv6Src:], s[:])
		copy(h[ipv6Dst:], d[:])
		return append(dst, h[:]...), start
	}
	const dontFragment = 0x4000
	var h [ipv4HeaderLen]byte
	h[0] = 4<<4 | ipv4HeaderLen/4
	be.PutUint16(h[2:], uint16(ipv4HeaderLen+payload))
	be.PutUint16(h[6:], dontFragment)
	h[8], h[9] = answerTTL, protocol
	s, d := src.As4(), to.As4()
	copy(h[ipv4Src:], s[:])
	copy(h[ipv4Dst:], d[:])
	be.PutUint16(h[ipv4Checksum:], Checksum(h[:]))
	return append(dst, h[:]...), start
}

// finishTransport writes the checksum of the packet p, which appendIP started.
// ICMP over IPv4 has no pseudo header.
func finishTransport(p []byte, v6 bool, protocol byte, at int) {
	header, addresses := ipv4HeaderLen, p[ipv4Src:ipv4HeaderLen]
	if v6 {
		header, addresses = ipv6HeaderLen, p[ipv6Src:ipv6HeaderLen]
	}
	t := p[header:]
	var s uint64
	if v6 || protocol != protoICMP {
		s = pseudoSum(addresses, protocol, len(t))
	}
	be.PutUint16(t[at:], ^fold(sum(t, s)))
}
