package fabrictest

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
	maxDatagram  = 65_535
)

// geneve carries inner IP packets over UDP with the codec of gopacket, which is
// independent of the codec that the fabric uses.
type geneve struct {
	conn *net.UDPConn
}

func listen(addr netip.AddrPort) (*geneve, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", addr)
	}
	// A kernel limit below socketBuffer only makes loss under load likelier.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &geneve{conn: conn}, nil
}

func (g *geneve) addr() netip.AddrPort {
	a := g.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// read returns a fresh copy of the next inner packet. A datagram that is no
// Geneve packet with an IP payload yields a nil packet.
func (g *geneve) read(buf []byte) ([]byte, netip.AddrPort, error) {
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

func (g *geneve) write(inner []byte, to netip.AddrPort) error {
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
