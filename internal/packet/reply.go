package packet

import "net/netip"

const (
	// replyTTL is the hop limit of the packets that this package builds: the value
	// that RFC 1700 recommends and common hosts use.
	replyTTL = 64
	// maxICMPv4 and maxICMPv6 limit the length of an ICMP error, in bytes including
	// the embedded packet (RFC 1812 section 4.3.2.3, RFC 4443 section 2.4).
	maxICMPv4 = 576
	maxICMPv6 = 1280
)

// AppendReset appends to dst the RST that refuses the TCP segment b (RFC 9293,
// section 3.10.7.1), from b's destination to b's source, and returns the extended
// slice. Neither b nor info may have changed since Parse. It appends nothing for a
// RST, which must not be answered, and for packets that are not TCP segments.
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
	setTransportChecksum(dst[start:], info.v6, protoTCP, tcpChecksum)
	return dst
}

// putReset writes the sequence number, the acknowledgement number and the flags of
// the RST t that refuses segment.
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

// AppendPortUnreachable appends to dst the ICMP or ICMPv6 port unreachable error
// that refuses the datagram b, from b's destination to b's source, and returns the
// extended slice. Neither b nor info may have changed since Parse. It appends
// nothing for an ICMP error, which must not be answered.
func AppendPortUnreachable(dst, b []byte, info *Info) []byte {
	if info.ICMPError {
		return dst
	}
	headerLen, maxLen := ipv4HeaderLen, maxICMPv4
	typ, code, protocol := byte(icmpv4Unreachable), byte(icmpv4PortUnreachable), byte(protoICMP)
	if info.v6 {
		headerLen, maxLen = ipv6HeaderLen, maxICMPv6
		typ, code, protocol = icmpv6Unreachable, icmpv6PortUnreachable, protoICMPv6
	}
	embedded := b[:min(info.Length, maxLen-headerLen-icmpHeaderLen)]
	dst, start := appendIP(dst, info, info.Dst.Addr(), icmpHeaderLen+len(embedded), protocol)
	dst = append(dst, typ, code, 0, 0, 0, 0, 0, 0)
	dst = append(dst, embedded...)
	setTransportChecksum(dst[start:], info.v6, protocol, icmpChecksum)
	return dst
}

// appendIP appends an IP header from src to the source of the packet in info, for
// payloadLen bytes of payload. It returns the extended slice and the offset of the
// header.
func appendIP(dst []byte, info *Info, src netip.Addr, payloadLen int, protocol byte) ([]byte, int) {
	start := len(dst)
	to := info.Src.Addr()
	if info.v6 {
		var h [ipv6HeaderLen]byte
		h[0] = 6 << 4
		be.PutUint16(h[4:], uint16(payloadLen))
		h[6], h[7] = protocol, replyTTL
		s, d := src.As16(), to.As16()
		copy(h[ipv6Src:], s[:])
		copy(h[ipv6Dst:], d[:])
		return append(dst, h[:]...), start
	}
	const dontFragment = 0x4000
	var h [ipv4HeaderLen]byte
	h[0] = 4<<4 | ipv4HeaderLen/4
	be.PutUint16(h[2:], uint16(ipv4HeaderLen+payloadLen))
	be.PutUint16(h[6:], dontFragment)
	h[8], h[9] = replyTTL, protocol
	s, d := src.As4(), to.As4()
	copy(h[ipv4Src:], s[:])
	copy(h[ipv4Dst:], d[:])
	be.PutUint16(h[ipv4Checksum:], Checksum(h[:]))
	return append(dst, h[:]...), start
}

// setTransportChecksum writes the TCP or ICMP checksum at offset in the payload of
// the IP packet p. ICMP over IPv4 has no pseudo header.
func setTransportChecksum(p []byte, v6 bool, protocol byte, offset int) {
	header, addresses := ipv4HeaderLen, p[ipv4Src:ipv4HeaderLen]
	if v6 {
		header, addresses = ipv6HeaderLen, p[ipv6Src:ipv6HeaderLen]
	}
	t := p[header:]
	var s uint64
	if v6 || protocol != protoICMP {
		s = pseudoSum(addresses, protocol, len(t))
	}
	be.PutUint16(t[offset:], ^fold(sum(t, s)))
}
