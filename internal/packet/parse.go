// Package packet parses the IP packets of callers and backend servers, rewrites
// their addresses and ports in place, and builds the RST segments and ICMP errors
// that refuse a flow and the keepalive segments that probe one.
package packet

import (
	"net/netip"

	"knapweedshore.example/internal/tables"
)

// TCP flags of Info.TCPFlags.
const (
	FlagFIN uint8 = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

// Info describes a parsed packet. Its unexported fields locate the headers for the
// rewriting functions, which must get the packet that Info was parsed from.
type Info struct {
	// Protocol is TCP or UDP. For an ICMP error it is that of the embedded packet.
	Protocol tables.Protocol
	// TCPFlags are the flags of a TCP segment. They are 0 for an ICMP error, because
	// its embedded TCP header is often truncated before the flags.
	TCPFlags uint8
	// ICMPError is set for an ICMP or ICMPv6 error. Src and Dst are then those of the
	// embedded packet.
	ICMPError bool
	// Src and Dst are the source and destination endpoints of the packet, or of the
	// embedded packet if ICMPError is set.
	Src, Dst netip.AddrPort
	// OuterSrc and OuterDst are the addresses of the IP header itself. They
	// differ from Src and Dst only for an ICMP error.
	OuterSrc, OuterDst netip.Addr
	// PayloadLen is the number of bytes after the TCP or UDP header. It is 0 for an
	// ICMP error.
	PayloadLen int
	// Length is the length of the IP packet in bytes. Bytes after it are padding and
	// need not be forwarded.
	Length int

	v6                bool
	transport         int // offset of the TCP, UDP or ICMP header
	embeddedIP        int // offset of the IP header in an ICMP error
	embeddedTransport int // offset of the TCP or UDP header in an ICMP error
}

// IsSYN reports whether the packet is a TCP segment that opens a connection.
func (i *Info) IsSYN() bool {
	return i.TCPFlags&(FlagSYN|FlagACK|FlagRST|FlagFIN) == FlagSYN
}

// Parse parses an IPv4 or IPv6 packet that contains TCP, UDP, or an ICMP error
// about one of them. It sets all fields of info and does not allocate. The error
// is a *RefusalError, and info is then undefined.
//
// Parse verifies the checksum of the IPv4 header, because a damaged address would
// create a flow that does not exist. Transport checksums are verified by the
// receiver: the rewriting functions keep a wrong checksum wrong.
func Parse(b []byte, info *Info) error {
	if err := parse(b, info); err != nil {
		return err
	}
	return nil
}

func parse(b []byte, info *Info) *RefusalError {
	var h ipHeader
	if err := h.read(b); err != nil {
		return err
	}
	if !h.v6 && Checksum(b[:h.headerLen]) != 0 {
		return errHeaderChecksum
	}
	if len(b) < h.totalLen {
		return errShortPacket
	}
	if h.isFragment {
		return errFragment
	}
	if !h.hasUnicastAddrs() {
		return errAddress
	}
	*info = Info{
		OuterSrc: h.src, OuterDst: h.dst,
		Length: h.totalLen, v6: h.v6, transport: h.headerLen,
	}
	return info.parseTransport(b[:h.totalLen], &h)
}

func (i *Info) parseTransport(b []byte, h *ipHeader) *RefusalError {
	t := b[i.transport:]
	switch {
	case h.protocol == protoTCP:
		return i.parseTCP(t)
	case h.protocol == protoUDP:
		return i.parseUDP(t)
	case h.protocol == protoICMP && !i.v6:
		return i.parseICMP(b, isICMPv4Error)
	case h.protocol == protoICMPv6 && i.v6:
		return i.parseICMP(b, isICMPv6Error)
	}
	return errProtocol
}

func (i *Info) parseTCP(t []byte) *RefusalError {
	if len(t) < tcpHeaderLen {
		return errShortTCP
	}
	headerLen := int(t[12]>>4) * 4
	if headerLen < tcpHeaderLen {
		return errTCPOffset
	}
	if headerLen > len(t) {
		return errShortTCP
	}
	i.Protocol = tables.TCP
	i.TCPFlags = t[13]
	i.PayloadLen = len(t) - headerLen
	i.setPorts(t, i.OuterSrc, i.OuterDst)
	return nil
}

func (i *Info) parseUDP(t []byte) *RefusalError {
	if len(t) < udpHeaderLen {
		return errShortUDP
	}
	length := int(be.Uint16(t[4:]))
	if length < udpHeaderLen || length > len(t) {
		return errUDPLength
	}
	if i.v6 && be.Uint16(t[udpChecksum:]) == 0 {
		return errUDPChecksum // RFC 8200, section 8.1
	}
	i.Protocol = tables.UDP
	i.PayloadLen = length - udpHeaderLen
	i.setPorts(t, i.OuterSrc, i.OuterDst)
	return nil
}

func (i *Info) setPorts(t []byte, src, dst netip.Addr) {
	i.Src = netip.AddrPortFrom(src, be.Uint16(t[srcPort:]))
	i.Dst = netip.AddrPortFrom(dst, be.Uint16(t[dstPort:]))
}
