package inet

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Parse decodes an IP packet and, like a receiving host, verifies its checksums.
// Options are ignored. The payload shares the memory of b.
func Parse(b []byte) (*Packet, error) {
	p := &Packet{}
	network, transport, err := p.parseNetwork(b)
	if err != nil {
		return nil, errors.Wrap(err, "parse IP header")
	}
	if err := p.parseTransport(network, transport); err != nil {
		return nil, errors.Wrapf(err, "parse transport protocol %d", p.Protocol)
	}
	return p, nil
}

func (p *Packet) parseNetwork(b []byte) (gopacket.NetworkLayer, []byte, error) {
	if len(b) > 0 && b[0]>>4 == 6 {
		var ip layers.IPv6
		if err := ip.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			return nil, nil, err
		}
		p.Protocol = Protocol(ip.NextHeader)
		return &ip, ip.Payload, p.setAddresses(ip.SrcIP, ip.DstIP)
	}
	var ip layers.IPv4
	if err := ip.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return nil, nil, err
	}
	if err := verifyChecksum(&ip); err != nil {
		return nil, nil, err
	}
	p.Protocol, p.ID = Protocol(ip.Protocol), ip.Id
	return &ip, ip.Payload, p.setAddresses(ip.SrcIP, ip.DstIP)
}

// transportLayer is implemented by the UDP, TCP and ICMP layers of gopacket.
type transportLayer interface {
	DecodeFromBytes(b []byte, df gopacket.DecodeFeedback) error
	VerifyChecksum() (error, gopacket.ChecksumVerificationResult)
}

func (p *Packet) parseTransport(network gopacket.NetworkLayer, b []byte) error {
	switch p.Protocol {
	case UDP:
		var u layers.UDP
		if err := decodeLayer(&u, network, b); err != nil {
			return err
		}
		p.setPorts(uint16(u.SrcPort), uint16(u.DstPort))
		p.Payload = u.Payload
	case TCP:
		var t layers.TCP
		if err := decodeLayer(&t, network, b); err != nil {
			return err
		}
		p.setPorts(uint16(t.SrcPort), uint16(t.DstPort))
		p.Seq, p.Ack, p.Window, p.Flags, p.Payload = t.Seq, t.Ack, t.Window, tcpFlags(&t), t.Payload
	case ICMP:
		return p.parseICMPv4(b)
	case ICMPv6:
		return p.parseICMPv6(network, b)
	default:
		return errors.New("unsupported protocol")
	}
	return nil
}

func (p *Packet) parseICMPv4(b []byte) error {
	var m layers.ICMPv4
	if err := m.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return err
	}
	if err := verifyChecksum(&m); err != nil {
		return err
	}
	if m.TypeCode == layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort) {
		p.Unreachable = parseQuoted(m.Payload)
	}
	return nil
}

func (p *Packet) parseICMPv6(network gopacket.NetworkLayer, b []byte) error {
	var m layers.ICMPv6
	if err := decodeLayer(&m, network, b); err != nil {
		return err
	}
	code := layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)
	if m.TypeCode == code && len(m.Payload) > 4 {
		p.Unreachable = parseQuoted(m.Payload[4:])
	}
	return nil
}

func decodeLayer(l interface {
	transportLayer
	checksummed
}, network gopacket.NetworkLayer, b []byte) error {
	if err := l.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return err
	}
	if err := l.SetNetworkLayerForChecksum(network); err != nil {
		return err
	}
	return verifyChecksum(l)
}

func verifyChecksum(l interface {
	VerifyChecksum() (error, gopacket.ChecksumVerificationResult)
}) error {
	err, result := l.VerifyChecksum()
	if err != nil {
		return err
	}
	if !result.Valid {
		return errors.Errorf("checksum %#04x, want %#04x", result.Actual, result.Correct)
	}
	return nil
}

func (p *Packet) setAddresses(src, dst []byte) error {
	s, srcOK := netip.AddrFromSlice(src)
	d, dstOK := netip.AddrFromSlice(dst)
	if !srcOK || !dstOK {
		return errors.New("invalid source or destination address")
	}
	p.Src, p.Dst = netip.AddrPortFrom(s.Unmap(), 0), netip.AddrPortFrom(d.Unmap(), 0)
	return nil
}

func (p *Packet) setPorts(src, dst uint16) {
	p.Src, p.Dst = netip.AddrPortFrom(p.Src.Addr(), src), netip.AddrPortFrom(p.Dst.Addr(), dst)
}

func tcpFlags(l *layers.TCP) Flags {
	var f Flags
	for _, bit := range []struct {
		set  bool
		flag Flags
	}{{l.FIN, FIN}, {l.SYN, SYN}, {l.RST, RST}, {l.PSH, PSH}, {l.ACK, ACK}} {
		if bit.set {
			f |= bit.flag
		}
	}
	return f
}

// parseQuoted decodes the addresses and ports of a quoted packet, which may be
// truncated after 8 bytes of its transport header. It returns nil if the ports are
// missing.
func parseQuoted(b []byte) *QuotedPacket {
	headerLen, addrOffset, addrLen, protocolOffset := 20, 12, 4, 9
	if len(b) > 0 && b[0]>>4 == 6 {
		headerLen, addrOffset, addrLen, protocolOffset = 40, 8, 16, 6
	} else if len(b) > 0 {
		headerLen = int(b[0]&0xf) * 4
	}
	if len(b) < headerLen+4 || headerLen < 20 {
		return nil
	}
	src, _ := netip.AddrFromSlice(b[addrOffset : addrOffset+addrLen])
	dst, _ := netip.AddrFromSlice(b[addrOffset+addrLen : addrOffset+2*addrLen])
	return &QuotedPacket{
		Protocol: Protocol(b[protocolOffset]),
		Src:      netip.AddrPortFrom(src, binary.BigEndian.Uint16(b[headerLen:])),
		Dst:      netip.AddrPortFrom(dst, binary.BigEndian.Uint16(b[headerLen+2:])),
	}
}
