package packet

import "knapweedshore.example/internal/tables"

// ICMP types that report an error about a packet.
const (
	icmpv4Unreachable      = 3
	icmpv4TimeExceeded     = 11
	icmpv4ParameterProblem = 12

	icmpv6Unreachable      = 1
	icmpv6PacketTooBig     = 2
	icmpv6TimeExceeded     = 3
	icmpv6ParameterProblem = 4
)

// Codes for "port unreachable".
const (
	icmpv4PortUnreachable = 3
	icmpv6PortUnreachable = 4
)

// isICMPv4Error reports whether typ is an error about a packet. It leaves out
// redirect, which concerns only the next hop, and source quench, which RFC 6633
// deprecates.
func isICMPv4Error(typ byte) bool {
	return typ == icmpv4Unreachable || typ == icmpv4TimeExceeded || typ == icmpv4ParameterProblem
}

func isICMPv6Error(typ byte) bool {
	return typ >= icmpv6Unreachable && typ <= icmpv6ParameterProblem
}

// parseICMP parses the ICMP header at i.transport and the packet that it embeds.
// The embedded packet is usually truncated, and routers may have changed its
// header checksum, so neither its length nor that checksum is verified.
func (i *Info) parseICMP(b []byte, isError func(byte) bool) *RefusalError {
	t := b[i.transport:]
	if len(t) < icmpHeaderLen {
		return errShortICMP
	}
	if !isError(t[0]) {
		return errICMPType
	}
	i.ICMPError = true
	i.embeddedIP = i.transport + icmpHeaderLen
	return i.parseEmbedded(b)
}

func (i *Info) parseEmbedded(b []byte) *RefusalError {
	var h ipHeader
	if err := h.read(b[i.embeddedIP:]); err == errShortIP {
		return errShortEmbedded
	} else if err != nil {
		return err
	}
	if h.v6 != i.v6 {
		return errEmbeddedVersion
	}
	if h.isLaterFragment || h.v6 && h.isFragment {
		return errEmbeddedFragment
	}
	if h.protocol != protoTCP && h.protocol != protoUDP {
		return errEmbeddedProtocol
	}
	if !h.hasUnicastAddrs() {
		return errAddress
	}
	if h.src != i.OuterDst {
		return errEmbeddedSource
	}
	i.embeddedTransport = i.embeddedIP + h.headerLen
	if len(b) < i.embeddedTransport+embeddedMinLen {
		return errShortEmbedded
	}
	i.Protocol = tables.Protocol(h.protocol)
	i.setPorts(b[i.embeddedTransport:], h.src, h.dst)
	return nil
}
