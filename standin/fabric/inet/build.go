package inet

import (
	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	hopLimit = 64
	// quotedLength is the maximum number of bytes of the offending packet that an
	// ICMP error quotes. The IP header and the first 8 bytes after it are required.
	quotedLength = 128
)

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Build encodes p as an IPv4 or IPv6 packet with valid lengths and checksums.
func Build(p *Packet) ([]byte, error) {
	network, err := networkLayer(p)
	if err != nil {
		return nil, err
	}
	switch p.Protocol {
	case UDP:
		u := &layers.UDP{SrcPort: layers.UDPPort(p.Src.Port()), DstPort: layers.UDPPort(p.Dst.Port())}
		return serialize(network, u, p.Payload)
	case TCP:
		return serialize(network, tcpLayer(p), p.Payload)
	}
	return nil, errors.Errorf("build packet: unsupported protocol %d", p.Protocol)
}

// BuildUnreachable encodes an ICMP port-unreachable message in response to a
// packet, which is given decoded as p and encoded as original.
func BuildUnreachable(p *Packet, original []byte) ([]byte, error) {
	quoted := original[:min(len(original), quotedLength)]
	reply := &Packet{Protocol: ICMP, Src: p.Dst, Dst: p.Src}
	if p.Src.Addr().Is4() {
		network, err := networkLayer(reply)
		if err != nil {
			return nil, err
		}
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)
		return serialize(network, &layers.ICMPv4{TypeCode: code}, quoted)
	}
	reply.Protocol = ICMPv6
	network, err := networkLayer(reply)
	if err != nil {
		return nil, err
	}
	code := layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)
	// The ICMPv6 header ends with 4 unused bytes, which gopacket expects in the
	// payload.
	return serialize(network, &layers.ICMPv6{TypeCode: code}, append(make([]byte, 4), quoted...))
}

func networkLayer(p *Packet) (gopacket.SerializableLayer, error) {
	src, dst := p.Src.Addr(), p.Dst.Addr()
	switch {
	case src.Is4() && dst.Is4():
		return &layers.IPv4{
			Version: 4, TTL: hopLimit, Id: p.ID, Flags: layers.IPv4DontFragment,
			Protocol: layers.IPProtocol(p.Protocol), SrcIP: src.AsSlice(), DstIP: dst.AsSlice(),
		}, nil
	case src.Is6() && dst.Is6():
		return &layers.IPv6{
			Version: 6, HopLimit: hopLimit,
			NextHeader: layers.IPProtocol(p.Protocol), SrcIP: src.AsSlice(), DstIP: dst.AsSlice(),
		}, nil
	}
	return nil, errors.Errorf("build packet: %q and %q are of different IP versions", src, dst)
}

func tcpLayer(p *Packet) *layers.TCP {
	return &layers.TCP{
		SrcPort: layers.TCPPort(p.Src.Port()), DstPort: layers.TCPPort(p.Dst.Port()),
		Seq: p.Seq, Ack: p.Ack, Window: p.Window,
		FIN: p.Flags.Has(FIN), SYN: p.Flags.Has(SYN), RST: p.Flags.Has(RST),
		PSH: p.Flags.Has(PSH), ACK: p.Flags.Has(ACK),
	}
}

// checksummed is implemented by layers whose checksum covers a pseudo header.
type checksummed interface {
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func serialize(network, transport gopacket.SerializableLayer, payload []byte) ([]byte, error) {
	if c, ok := transport.(checksummed); ok {
		if err := c.SetNetworkLayerForChecksum(network.(gopacket.NetworkLayer)); err != nil {
			return nil, errors.Wrap(err, "set pseudo header")
		}
	}
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, serializeOptions, network, transport, gopacket.Payload(payload)); err != nil {
		return nil, errors.Wrap(err, "serialize packet")
	}
	return buf.Bytes(), nil
}
