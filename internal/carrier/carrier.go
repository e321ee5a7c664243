// Package carrier exchanges IP packets with the fabric and with other
// balancers: in Geneve (RFC 8926) over UDP, in batches.
package carrier

import "net/netip"

// Conn exchanges batches of packets. One goroutine at a time may read and one
// may write; Close may be called from any.
type Conn interface {
	// ReadBatch waits for at least one packet and fills the first entries of
	// in; it returns how many. Inner is valid until the next call. Refused
	// datagrams are counted and left out. After Close the error is
	// net.ErrClosed.
	ReadBatch(in []Incoming) (int, error)
	// WriteBatch sends the packets in order and returns how many were sent. If
	// that is not all, the error tells why out[n] was not sent; the packets
	// after it may be sent with another call.
	WriteBatch(out []Outgoing) (int, error)
	// LocalAddr returns the address that the connection is bound to.
	LocalAddr() netip.AddrPort
	// Close ends a waiting ReadBatch.
	Close() error
}

// Incoming is a received packet.
type Incoming struct {
	// Inner is the IP packet.
	Inner []byte
	// From is the address of the fabric node or balancer that sent it.
	From netip.AddrPort
	// Hop is HopNone for a packet without a hop option.
	Hop Hop
}

// Outgoing is a packet to be sent.
type Outgoing struct {
	// Inner is the IP packet.
	Inner []byte
	// To is the address of the fabric node or balancer to send it to.
	To netip.AddrPort
	// Hop is HopNone for a packet to the fabric.
	Hop Hop
}
