// Package inet encodes and decodes the IP packets that simulated hosts exchange
// through the fabric.
package inet

import (
	"net/netip"
)

// Protocol is an IP protocol number.
type Protocol uint8

// Protocols of simulated hosts.
const (
	ICMP   Protocol = 1
	TCP    Protocol = 6
	UDP    Protocol = 17
	ICMPv6 Protocol = 58
)

// Flags are the control bits of a TCP segment.
type Flags uint8

// Control bits of a TCP segment.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all bits of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is a decoded IP packet. The ports of ICMP packets are 0.
type Packet struct {
	Protocol Protocol
	Src, Dst netip.AddrPort
	// ID is the IPv4 identification, 0 for IPv6.
	ID       uint16
	Seq, Ack uint32
	Flags    Flags
	Window   uint16
	Payload  []byte
	// Unreachable is set for an ICMP port-unreachable message.
	Unreachable *QuotedPacket
}

// QuotedPacket has the addresses of the packet that an ICMP error quotes.
type QuotedPacket struct {
	Protocol Protocol
	Src, Dst netip.AddrPort
}

// IsICMP reports whether the packet is an ICMP message of either IP version.
func (p *Packet) IsICMP() bool { return p.Protocol == ICMP || p.Protocol == ICMPv6 }
