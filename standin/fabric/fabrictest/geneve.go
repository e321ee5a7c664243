package fabrictest

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	// socketBufferBytes holds bursts while the reading goroutine is not running.
	socketBufferBytes = 4 << 20
	maxDatagramBytes  = 65_535
)

// geneveConn exchanges IP packets in Geneve over UDP. It uses gopacket's codec,
// which is independent of the fabric's own codec.
type geneveConn struct {
	conn *net.UDPConn
}

func listenGeneve(addr netip.AddrPort) (*geneveConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", addr)
	}
	// Errors are ignored: with smaller buffers, packets are only more likely to
	// be lost under load.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &geneveConn{conn: conn}, nil
}

func (g *geneveConn) addr() netip.AddrPort {
	a := g.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// read returns a copy of the next inner packet and its sender. The packet is nil
// if the datagram is not a Geneve packet with an IP payload.
func (g *geneveConn) read(buf []byte) ([]byte, netip.AddrPort, error) {
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

func (g *geneveConn) write(inner []byte, to netip.AddrPort) error {
	header := &layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	if inner[0]>>4 == 6 {
		header.Protocol = layers.EthernetTypeIPv6
	}
	buf := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true}, header, gopacket.Payload(inner))
	if err != nil {
		return errors.Wrap(err, "encode Geneve header")
	}
	if _, err = g.conn.WriteToUDPAddrPort(buf.Bytes(), to); err != nil {
		return errors.Wrapf(err, "send to %q", to)
	}
	return nil
}
