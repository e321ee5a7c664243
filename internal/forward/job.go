package forward

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// Output collects the packets that a worker sends after handling a batch.
type Output struct {
	Packets []carrier.Outgoing
	built   []byte // refusals and probes built since the last Reset
	job     job    // reused, so that handling a packet does not allocate
}

// maxRefusalBytes is the maximum size of one refusal: an ICMPv6 error may be as
// large as the minimum IPv6 MTU.
const maxRefusalBytes = 1280

// NewOutput returns an Output with capacity for n packets.
func NewOutput(n int) *Output {
	return &Output{Packets: make([]carrier.Outgoing, 0, n), built: make([]byte, 0, n*maxRefusalBytes)}
}

// Reset empties the Output after its packets have been sent.
func (o *Output) Reset() {
	o.Packets = o.Packets[:0]
	o.built = o.built[:0]
}

// send queues a packet.
func (o *Output) send(inner []byte, to netip.AddrPort, hop carrier.Hop) {
	o.Packets = append(o.Packets, carrier.Outgoing{Inner: inner, To: to, Hop: hop})
}

// job holds the state of one packet while the Engine handles it.
type job struct {
	in     *carrier.Incoming
	out    *Output
	now    time.Time
	view   *View
	tables *tableView
	info   packet.Info
	slot   uint32
	caller netip.AddrPort
	// response is set for packets from a backend server to a caller.
	response bool
	// predecessorAnswered is set if the packet carries the answer of a
	// predecessor, which must not be asked again.
	predecessorAnswered bool
}

// address returns the service address of a request packet.
func (j *job) address() tables.Address {
	return tables.Address{AddrPort: j.info.Dst, Protocol: j.info.Protocol}
}

// payload returns the bytes after the transport header.
func (j *job) payload() []byte {
	return j.in.Inner[len(j.in.Inner)-j.info.PayloadLen:]
}
