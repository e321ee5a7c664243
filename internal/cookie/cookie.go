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
	// Copy counts the copies of the first packet that were sent before it.
	Copy int
	// Ends and Aborts mark the caller's last data and its reset.
	Ends, Aborts bool
	// Ack is the caller's acknowledgement number.
	Ack uint32
	// Payload is the length of the data in bytes.
	Payload int
}

// Codec reads and writes packets in a carrier's format.
type Codec interface {
	// MaxPacket is the size of the largest packet in bytes.
	MaxPacket() int
	// Headroom is how many bytes Address needs before a packet.
	Headroom() int
	Parse(b []byte) (Packet, error)
	// Address prepares a packet, preceded by Headroom bytes, for a server.
	Address(b []byte, number uint64, c directory.Cookie)
	// AppendReset appends a packet that resets the flow of p.
	AppendReset(dst []byte, p Packet) []byte
}
