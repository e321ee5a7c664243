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
	// embeddedMinLen is the part of the transport header that RFC 792 requires
	// an ICMP error to embed; it holds the ports.
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

// ipHeader is the part of an IP header that Parse needs.
type ipHeader struct {
	v6       bool
	length   int // header
	total    int // header and payload, as the header states it
	protocol byte
	fragment bool // any fragment, also the first
	offset   bool // a fragment other than the first
	src, dst netip.Addr
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
	h.length = int(b[0]&0x0f) * 4
	h.total = int(be.Uint16(b[2:]))
	if h.length < ipv4HeaderLen {
		return errHeaderLength
	}
	if h.total < h.length {
		return errTotalLength
	}
	if len(b) < h.length {
		return errShortIP
	}
	const moreFragments, offsetMask = 0x2000, 0x1fff
	f := be.Uint16(b[6:])
	h.fragment = f&(moreFragments|offsetMask) != 0
	h.offset = f&offsetMask != 0
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
	h.length = ipv6HeaderLen
	h.total = ipv6HeaderLen + int(be.Uint16(b[4:]))
	h.protocol = b[6]
	h.fragment = h.protocol == protoFragment
	h.offset = false
	h.src = netip.AddrFrom16([16]byte(b[ipv6Src:]))
	h.dst = netip.AddrFrom16([16]byte(b[ipv6Dst:]))
	return nil
}

// unicast reports whether both addresses can be ends of a flow. An IPv4-mapped
// IPv6 address must not appear in a packet and would equal the IPv4 address in
// the flow table.
func (h *ipHeader) unicast() bool {
	return endpoint(h.src) && endpoint(h.dst)
}

func endpoint(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && !a.Is4In6()
}
