package packet

import (
	"encoding/binary"
	"net/netip"
)

// Sizes of headers without options, in bytes.
const (
	ipv4HeaderLen = 20
	ipv6HeaderLen = 40
	tcpHeaderLen  = 20
	udpHeaderLen  = 8
	icmpHeaderLen = 8
	// embeddedMinLen is how many bytes of the transport header an ICMP error must embed
	// (RFC 792). They include the ports.
	embeddedMinLen = 8
)

// IP protocol numbers.
const (
	protoICMP     = 1
	protoTCP      = 6
	protoUDP      = 17
	protoFragment = 44
	protoICMPv6   = 58
)

// Offsets of fields from the start of their header.
const (
	ipv4Checksum = 10
	ipv4Src      = 12
	ipv4Dst      = 16
	ipv6Src      = 8
	ipv6Dst      = 24
	tcpChecksum  = 16
	udpChecksum  = 6
	icmpChecksum = 2
	srcPort      = 0
	dstPort      = 2
)

var be = binary.BigEndian

// ipHeader holds the fields of an IP header that Parse needs.
type ipHeader struct {
	v6              bool
	headerLen       int // bytes of the header with its options
	totalLen        int // bytes of header and payload according to the header
	protocol        byte
	isFragment      bool // any fragment, including the first
	isLaterFragment bool // any fragment except the first
	src, dst        netip.Addr
}

func (h *ipHeader) read(b []byte) *RefusalError {
	if len(b) == 0 {
		return errShortIP
	}
	switch b[0] >> 4 {
	case 4:
		return h.readV4(b)
	case 6:
		return h.readV6(b)
	}
	return errVersion
}

func (h *ipHeader) readV4(b []byte) *RefusalError {
	if len(b) < ipv4HeaderLen {
		return errShortIP
	}
	h.v6 = false
	h.headerLen = int(b[0]&0x0f) * 4
	h.totalLen = int(be.Uint16(b[2:]))
	if h.headerLen < ipv4HeaderLen {
		return errHeaderLength
	}
	if h.totalLen < h.headerLen {
		return errTotalLength
	}
	if len(b) < h.headerLen {
		return errShortIP
	}
	const moreFragments, offsetMask = 0x2000, 0x1fff
	f := be.Uint16(b[6:])
	h.isFragment = f&(moreFragments|offsetMask) != 0
	h.isLaterFragment = f&offsetMask != 0
	h.protocol = b[9]
	h.src = netip.AddrFrom4([4]byte(b[ipv4Src:]))
	h.dst = netip.AddrFrom4([4]byte(b[ipv4Dst:]))
	return nil
}

func (h *ipHeader) readV6(b []byte) *RefusalError {
	if len(b) < ipv6HeaderLen {
		return errShortIP
	}
	h.v6 = true
	h.headerLen = ipv6HeaderLen
	h.totalLen = ipv6HeaderLen + int(be.Uint16(b[4:]))
	h.protocol = b[6]
	h.isFragment = h.protocol == protoFragment
	h.isLaterFragment = false
	h.src = netip.AddrFrom16([16]byte(b[ipv6Src:]))
	h.dst = netip.AddrFrom16([16]byte(b[ipv6Dst:]))
	return nil
}

// hasUnicastAddrs reports whether both addresses can be endpoints of a flow. An
// IPv4-mapped IPv6 address must not appear in a packet, and the flow table would
// take it for the IPv4 address.
func (h *ipHeader) hasUnicastAddrs() bool {
	return isUnicast(h.src) && isUnicast(h.dst)
}

func isUnicast(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && !a.Is4In6()
}
