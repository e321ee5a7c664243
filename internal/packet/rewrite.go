package packet

import (
	"net/netip"

	"knapweedshore.example/internal/tables"
)

// RewriteDestination replaces the destination address and port of a TCP or UDP
// packet in place, updates the checksums incrementally, and sets info.Dst and
// info.OuterDst. It panics if the new address is not of the packet's IP version,
// because the packet would otherwise be sent to its old destination. It must not
// be called for an ICMP error.
func RewriteDestination(b []byte, info *Info, to netip.AddrPort) {
	info.rewriteAddress(b, to, ipv4Dst, ipv6Dst, dstPort)
	info.Dst, info.OuterDst = to, to.Addr()
}

// RewriteSource does the same as RewriteDestination for the source address and
// port.
func RewriteSource(b []byte, info *Info, to netip.AddrPort) {
	info.rewriteAddress(b, to, ipv4Src, ipv6Src, srcPort)
	info.Src, info.OuterSrc = to, to.Addr()
}

func (i *Info) rewriteAddress(b []byte, to netip.AddrPort, offset4, offset6, portOffset int) {
	var d delta
	replaceAddr(b, to.Addr(), i.v6, offset4, offset6, &d)
	if !i.v6 {
		updateChecksum(b[ipv4Checksum:], d)
	}
	t := b[i.transport:]
	d.replace16(t[portOffset:], to.Port())
	updateTransport(t, i.Protocol, i.v6, d)
}

// RewriteICMPError redirects an ICMP error about a flow: it replaces the outer
// destination and the embedded source address and port, so that the error reaches
// the sender of the embedded packet and contains the packet as that sender sent
// it. It updates the outer, the embedded and the ICMP checksums, and info. It
// panics if an address is not of the packet's IP version.
func RewriteICMPError(b []byte, info *Info, outerDst netip.Addr, embeddedSrc netip.AddrPort) {
	info.rewriteEmbedded(b, embeddedSrc, ipv4Src, ipv6Src, srcPort)
	var d delta
	replaceAddr(b, outerDst, info.v6, ipv4Dst, ipv6Dst, &d)
	if info.v6 {
		// The pseudo header of ICMPv6 holds the outer destination.
		updateChecksum(b[info.transport+icmpChecksum:], d)
	} else {
		updateChecksum(b[ipv4Checksum:], d)
	}
	info.Src, info.OuterDst = embeddedSrc, outerDst
}

// RewriteICMPErrorDestination replaces the embedded destination address and port
// of an ICMP error, so that the caller that sent the embedded packet recognises
// it. The outer addresses do not change.
func RewriteICMPErrorDestination(b []byte, info *Info, embeddedDst netip.AddrPort) {
	info.rewriteEmbedded(b, embeddedDst, ipv4Dst, ipv6Dst, dstPort)
	info.Dst = embeddedDst
}

// rewriteEmbedded replaces one address and port of the embedded packet. The ICMP
// checksum covers every word that changes, including the embedded checksums.
func (i *Info) rewriteEmbedded(b []byte, to netip.AddrPort, offset4, offset6, portOffset int) {
	ip, t := b[i.embeddedIP:i.Length], b[i.embeddedTransport:i.Length]
	var icmp, d delta
	replaceAddr(ip, to.Addr(), i.v6, offset4, offset6, &d)
	icmp = d
	if !i.v6 {
		icmp.replace16(ip[ipv4Checksum:], d.update(be.Uint16(ip[ipv4Checksum:])))
	}
	var port delta
	port.replace16(t[portOffset:], to.Port())
	icmp += port
	i.rewriteEmbeddedTransport(t, d+port, &icmp)
	updateChecksum(b[i.transport+icmpChecksum:], icmp)
}

// rewriteEmbeddedTransport updates the embedded TCP or UDP checksum if the embedded
// part of the packet contains it, and adds the change to icmp.
func (i *Info) rewriteEmbeddedTransport(t []byte, d delta, icmp *delta) {
	offset := tcpChecksum
	if i.Protocol == tables.UDP {
		offset = udpChecksum
	}
	if len(t) < offset+2 {
		return
	}
	before := be.Uint16(t[offset:])
	updateTransport(t, i.Protocol, i.v6, d)
	*icmp += delta(^before) + delta(be.Uint16(t[offset:]))
}

// updateTransport applies d to the checksum of the TCP or UDP header t.
func updateTransport(t []byte, p tables.Protocol, v6 bool, d delta) {
	if p != tables.UDP {
		updateChecksum(t[tcpChecksum:], d)
		return
	}
	old := be.Uint16(t[udpChecksum:])
	if old == 0 && !v6 {
		return // the sender of a UDP datagram over IPv4 may omit the checksum
	}
	sum := d.update(old)
	if sum == 0 {
		sum = 0xffff // 0 stands for "no checksum" (RFC 768)
	}
	be.PutUint16(t[udpChecksum:], sum)
}

func updateChecksum(field []byte, d delta) {
	be.PutUint16(field, d.update(be.Uint16(field)))
}

func replaceAddr(b []byte, to netip.Addr, v6 bool, offset4, offset6 int, d *delta) {
	if to.Is6() != v6 {
		panic("packet: rewrite to an address of another IP version")
	}
	if v6 {
		a := to.As16()
		d.replace(b[offset6:offset6+16], a[:])
		return
	}
	a := to.As4()
	d.replace(b[offset4:offset4+4], a[:])
}
