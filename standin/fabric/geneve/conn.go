// Package geneve exchanges inner IP packets with balancers as Geneve datagrams
// (RFC 8926), with the codec of gopacket.
package geneve

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	// socketBuffer holds bursts while the reading goroutine is not scheduled.
	socketBuffer = 4 << 20
	// MaxDatagram is the size of a read buffer that holds every datagram.
	MaxDatagram = 65_535
)

// Conn is a UDP socket that carries inner IP packets.
type Conn struct {
	conn *net.UDPConn
}

// Listen opens a socket.
func Listen(addr netip.AddrPort) (*Conn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", addr)
	}
	// A kernel limit below socketBuffer only makes loss under load likelier.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &Conn{conn: conn}, nil
}

// Addr returns the address of the socket.
func (g *Conn) Addr() netip.AddrPort {
	a := g.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Read returns a fresh copy of the next inner packet. A datagram that is no
// Geneve packet with an IP payload yields a nil packet.
func (g *Conn) Read(buf []byte) ([]byte, netip.AddrPort, error) {
	n, from, err := g.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "read datagram")
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	var header layers.Geneve
	if header.DecodeFromBytes(buf[:n], gopacket.NilDecodeFeedback) != nil {
		return nil, from, nil
	}
	if header.Protocol != layers.EthernetTypeIPv4 && header.Protocol != layers.EthernetTypeIPv6 {
		return nil, from, nil
	}
	return append([]byte(nil), header.Payload...), from, nil
}

// Write sends an inner packet.
func (g *Conn) Write(inner []byte, to netip.AddrPort) error {
	header := &layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	if inner[0]>>4 == 6 {
		header.Protocol = layers.EthernetTypeIPv6
	}
	buf := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true}, header, gopacket.Payload(inner))
	if err != nil {
		return errors.Wrap(err, "encode Geneve header")
	}
	_, err = g.conn.WriteToUDPAddrPort(buf.Bytes(), to)
	return errors.Wrapf(err, "send to balancer %q", to)
}

// Close closes the socket.
func (g *Conn) Close() error { return errors.Wrap(g.conn.Close(), "close socket") }
