package packet

// AppendProbe appends to dst a keepalive segment (RFC 9293, section 3.8.4) derived
// from the TCP segment b: the same header without payload, with the sequence
// number before b's, so that it cannot change the connection. A server that knows
// the connection responds with an ACK, any other server with a RST. TCP options
// are kept, because a server drops segments that lack a negotiated timestamp. It
// appends nothing for a SYN, a RST, and packets that are not TCP segments.
func AppendProbe(dst, b []byte, info *Info) []byte {
	if info.ICMPError || info.Protocol != protoTCP || info.TCPFlags&(FlagSYN|FlagRST) != 0 {
		return dst
	}
	const seq, flags, urgent = 4, 13, 18
	headersLen := info.Length - info.PayloadLen
	start := len(dst)
	dst = append(dst, b[:headersLen]...)
	p := dst[start:]
	t := p[info.transport:]
	be.PutUint32(t[seq:], be.Uint32(t[seq:])-1)
	t[flags] = FlagACK
	be.PutUint16(t[urgent:], 0)
	setLength(p, info)
	be.PutUint16(t[tcpChecksum:], 0)
	addresses := p[ipv4Src:ipv4HeaderLen]
	if info.v6 {
		addresses = p[ipv6Src:ipv6HeaderLen]
	}
	be.PutUint16(t[tcpChecksum:], ^fold(sum(t, pseudoSum(addresses, protoTCP, len(t)))))
	return dst
}

// setLength writes the length of p into its IP header.
func setLength(p []byte, info *Info) {
	const lengthV4, lengthV6 = 2, 4
	if info.v6 {
		be.PutUint16(p[lengthV6:], uint16(len(p)-ipv6HeaderLen))
		return
	}
	be.PutUint16(p[lengthV4:], uint16(len(p)))
	be.PutUint16(p[ipv4Checksum:], 0)
	be.PutUint16(p[ipv4Checksum:], Checksum(p[:info.transport]))
}
