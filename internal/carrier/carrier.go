// Package carrier exchanges batches of IP packets with the fabric, the network
// that connects callers, balancers and backend servers, and with other balancers.
// The packets are encapsulated in Geneve (RFC 8926) over UDP.
package carrier

import "net/netip"

// Conn exchanges batches of packets. At most one goroutine may read and one may
// write at a time; Close may be called from any goroutine.
type Conn interface {
	// ReadBatch waits for at least one packet, stores packets in the first entries of
	// in, and returns their number. The Inner slices are valid until the next call.
	// Refused datagrams are counted and skipped. After Close the error is
	// net.ErrClosed.
	ReadBatch(in []Incoming) (int, error)
	// WriteBatch sends the packets in order and returns the number n of packets sent.
	// If not all were sent, the error tells why out[n] was not; out[n+1:] may be sent
	// with another call.
	WriteBatch(out []Outgoing) (int, error)
	// LocalAddr returns the address to which the connection is bound.
	LocalAddr() netip.AddrPort
	// Close closes the connection and ends a waiting ReadBatch.
	Close() error
}

// Incoming is a received packet.
type Incoming struct {
	// Inner is the IP packet.
	Inner []byte
	// From is the address of the fabric node or balancer that sent it.
	From netip.AddrPort
	// Hop is the hop option. Its kind is HopNone if the packet has none.
	Hop Hop
}

// Outgoing is a packet to be sent.
type Outgoing struct {
	// Inner is the IP packet.
	Inner []byte
	// To is the address of the fabric node or balancer to send it to.
	To netip.AddrPort
	// Hop is the hop option. Its kind is HopNone for a packet to the fabric.
	Hop Hop
}
