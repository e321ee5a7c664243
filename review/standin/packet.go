// Package standin contains small stand-ins for the platform of an entry daemon: the
// store, the routers, consumers and servers. They follow PROTOCOL.md and run on loopback
// addresses and the real clock.
package standin

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Bits of Packet.Flags.
const (
	ACK byte = 4
	FIN byte = 8
	RST byte = 32
	SYN byte = 64
)

const (
	headerLength = 31
	// sumKey is known to consumers and servers only.
	sumKey = "key of both ends"
)

// Packet is a decoded packet.
type Packet struct {
	Seq, Ack, Echo uint32
	Flags          byte
	Src, Dst       netip.AddrPort
	Data           []byte
	// SumValid is set by Decode if the checksum is the one of an end of the flow.
	SumValid bool
}

// Encode returns the packet in the wire format, with a valid checksum.
func (p Packet) Encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.Data))
	binary.BigEndian.PutUint32(b[0:], p.Seq)
	binary.BigEndian.PutUint32(b[4:], p.Ack)
	binary.BigEndian.PutUint32(b[8:], p.Echo)
	b[12] = p.Flags
	binary.BigEndian.PutUint16(b[13:], p.Dst.Port())
	binary.BigEndian.PutUint16(b[15:], p.Src.Port())
	src, dst := p.Src.Addr().As4(), p.Dst.Addr().As4()
	copy(b[17:], src[:])
	copy(b[21:], dst[:])
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.Data)))
	b = append(b, p.Data...)
	binary.BigEndian.PutUint32(b[25:], sumOf(b))
	return b
}

// sumOf covers all fields except the echo and the sum itself.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	for _, part := range [][]byte{[]byte(sumKey), b[:8], b[12:25], b[29:]} {
		_, _ = h.Write(part)
	}
	return h.Sum32()
}

// Decode decodes a packet.
func Decode(b []byte) (Packet, error) {
	if len(b) < headerLength || headerLength+int(binary.BigEndian.Uint16(b[29:])) != len(b) {
		return Packet{}, errors.New("packet has a wrong length")
	}
	return Packet{
		Seq: binary.BigEndian.Uint32(b[0:]), Ack: binary.BigEndian.Uint32(b[4:]), Echo: binary.BigEndian.Uint32(b[8:]),
		Flags:    b[12],
		Dst:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[21:])), binary.BigEndian.Uint16(b[13:])),
		Src:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[17:])), binary.BigEndian.Uint16(b[15:])),
		Data:     append([]byte(nil), b[headerLength:]...),
		SumValid: binary.BigEndian.Uint32(b[25:]) == sumOf(b),
	}, nil
}
