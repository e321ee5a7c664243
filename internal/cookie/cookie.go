// Package cookie forwards packets for carriers whose callers echo a cookie in
// every packet of a flow. The cookie identifies the flow's server, so daemons
// need no shared flow state: only the first packet of a flow requires a choice
// of server.
package cookie

import (
	"net/netip"

	"knapweedshore.example/internal/directory"
)

// Packet holds the fields of a caller's packet that forwarding depends on.
type Packet struct {
	Caller, Service netip.AddrPort
	Cookie          directory.Cookie
	// Opens is set on the packet that opens a flow and on its retransmissions.
	Opens bool
	// Retransmits is the number of times the opening packet was sent before this
	// one; 0 for the original.
	Retransmits int
	// Ends is set if the caller has no more data to send, Aborts if it resets
	// the flow.
	Ends, Aborts bool
	// Seq is the sequence number of the packet, and Ack the caller's acknowledgement number.
	Seq, Ack uint32
	// PayloadLen is the length of the payload in bytes.
	PayloadLen int
}

// Codec parses and builds packets in a carrier's wire format.
type Codec interface {
	// MaxPacketSize is the size of the largest packet in bytes.
	MaxPacketSize() int
	// Headroom is the number of bytes that Encapsulate needs before a packet.
	Headroom() int
	// Parse decodes the packet in b, without headroom.
	Parse(b []byte) (Packet, error)
	// Encapsulate fills the headroom at the start of b and writes the cookie
	// into the packet that follows, so that the server with this number and
	// cookie accepts it.
	Encapsulate(b []byte, number uint64, c directory.Cookie)
	// AppendReset appends to dst a packet that resets the flow of p.
	AppendReset(dst []byte, p Packet) []byte
}
