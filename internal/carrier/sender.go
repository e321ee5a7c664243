package carrier

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// sender writes batches of datagrams. The header and the inner packet are separate
// buffers of a message, so that the inner packet is not copied.
type sender struct {
	conn         *ipv4.PacketConn // sendmmsg is the same for an IPv6 socket
	messages     [BatchSize]ipv4.Message
	vectors      [BatchSize][2][]byte
	headers      [BatchSize][MaxOverhead]byte
	destinations [BatchSize]net.UDPAddr
	ipBuffers    [BatchSize][16]byte
}

func newSender(sock *net.UDPConn) *sender {
	s := &sender{conn: ipv4.NewPacketConn(sock)}
	for i := range s.messages {
		s.messages[i].Buffers = s.vectors[i][:]
		s.messages[i].Addr = &s.destinations[i]
	}
	return s
}

// send writes at most BatchSize packets and returns how many were sent.
func (s *sender) send(out []Outgoing) (int, error) {
	for i := range out {
		s.prepare(i, &out[i])
	}
	n, err := s.conn.WriteBatch(s.messages[:len(out)], 0)
	for i := range out {
		s.vectors[i][1] = nil
	}
	return max(n, 0), err
}

func (s *sender) prepare(i int, o *Outgoing) {
	s.vectors[i][0] = AppendHeader(s.headers[i][:0], o.Inner, o.Hop)
	s.vectors[i][1] = o.Inner
	s.setDestination(i, o.To)
}

func (s *sender) setDestination(i int, to netip.AddrPort) {
	if to.Addr().Is4() {
		a := to.Addr().As4()
		s.destinations[i].IP = append(s.ipBuffers[i][:0], a[:]...)
	} else {
		a := to.Addr().As16()
		s.destinations[i].IP = append(s.ipBuffers[i][:0], a[:]...)
	}
	s.destinations[i].Port = int(to.Port())
}
