package carrier

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// udpConn is a Conn over one UDP socket.
type udpConn struct {
	sock     *net.UDPConn
	local    netip.AddrPort
	refusals RefusalCounter
	receiver *receiver
	sender   *sender
}

func newUDPConn(sock *net.UDPConn, o *options) (*udpConn, error) {
	raw, err := sock.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "get socket descriptor")
	}
	return &udpConn{
		sock:     sock,
		local:    sock.LocalAddr().(*net.UDPAddr).AddrPort(),
		refusals: o.refusals,
		receiver: newReceiver(raw),
		sender:   newSender(sock),
	}, nil
}

func (c *udpConn) LocalAddr() netip.AddrPort { return c.local }

func (c *udpConn) Close() error { return c.sock.Close() }

func (c *udpConn) ReadBatch(in []Incoming) (int, error) {
	if len(in) == 0 {
		return 0, nil
	}
	for {
		n, err := c.receiver.receive(len(in))
		if err != nil {
			return 0, errors.Wrap(err, "read batch")
		}
		if accepted := c.decode(in, n); accepted > 0 {
			return accepted, nil
		}
	}
}

// decode decodes the n datagrams of the last batch into in and returns the number
// of accepted packets.
func (c *udpConn) decode(in []Incoming, n int) int {
	accepted := 0
	for i := range n {
		b, complete := c.receiver.datagram(i)
		if !complete {
			c.refusals.Refused(errDatagram.Reason)
			continue
		}
		inner, hop, err := decode(b)
		if err != nil {
			c.refusals.Refused(err.Reason)
			continue
		}
		in[accepted] = Incoming{Inner: inner, From: c.receiver.from(i), Hop: hop}
		accepted++
	}
	return accepted
}

func (c *udpConn) WriteBatch(out []Outgoing) (int, error) {
	sent := 0
	for sent < len(out) {
		n, err := c.sender.send(out[sent:min(len(out), sent+BatchSize)])
		sent += n
		if err != nil {
			return sent, errors.Wrap(err, "write batch")
		}
	}
	return sent, nil
}
