// Package cookie forwards the packets of a carrier that gives a cookie back with
// every packet of a flow. The cookie names the flow's server, so daemons share
// no state about flows: only the first packet of a flow needs a decision.
package cookie

import (
	"net/netip"

	"knapweedshore.example/internal/directory"
)

// Packet is what the forwarding needs of a caller's packet.
type Packet struct {
	Caller, Service netip.AddrPort
	Cookie          directory.Cookie
	// Opens marks the first packet of a flow and its copies.
	Opens bool
	// Retransmits counts the copies of the first packet that were sent before it.
	Retransmits int
	// Ends and Aborts mark the caller's last data and its reset.
	Ends, Aborts bool
	// Ack is the caller's acknowledgement number.
	Ack uint32
	// PayloadLen is the length of the data in bytes.
	PayloadLen int
}

// Codec reads and writes packets in a carrier's format.
type Codec interface {
	// MaxPacketSize is the size of the largest packet in bytes.
	MaxPacketSize() int
	// Headroom is how many bytes Address needs before a packet.
	Headroom() int
	Parse(b []byte) (Packet, error)
	// Encapsulate prepares a packet, preceded by Headroom bytes, for a server.
	Encapsulate(b []byte, number uint64, c directory.Cookie)
	// AppendReset appends a packet that resets the flow of p.
	AppendReset(dst []byte, p Packet) []byte
}
