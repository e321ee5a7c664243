package platform

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"

	"github.com/go-faster/errors"
)

// Bits of Packet.Flags.
const (
	ACK byte = 4
	FIN byte = 8
	RST byte = 32
	SYN byte = 64
)

// headerLength is the size of the packet header in bytes.
const headerLength = 31

// Packet is a decoded packet, as callers and servers use it.
type Packet struct {
	Seq, Ack, Echo uint32
	Flags          byte
	Src, Dst       netip.AddrPort
	Data           []byte
	// ChecksumValid reports whether the packet was decoded with a valid checksum.
	ChecksumValid bool
}

// checksumKey is the secret of callers and servers that goes into the checksum, so
// that daemons cannot compute it.
const checksumKey = "a secret of the ends"

// Encode returns the packet with its checksum in the wire format.
func (p Packet) Encode() []byte {
	b := make([]byte, headerLength+len(p.Data))
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
	copy(b[headerLength:], p.Data)
	binary.BigEndian.PutUint32(b[25:], checksum(b))
	return b
}

// checksum returns the checksum of an encoded packet. It covers all fields except the
// echo and the checksum itself.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	for _, part := range [][]byte{[]byte(checksumKey), b[:8], b[12:25], b[29:]} {
		_, _ = h.Write(part) // never fails
	}
	return h.Sum32()
}

// DecodePacket decodes a packet and verifies its checksum.
func DecodePacket(b []byte) (Packet, error) {
	if len(b) < headerLength || headerLength+int(binary.BigEndian.Uint16(b[29:])) != len(b) {
		return Packet{}, errors.Errorf("packet of %d bytes is truncated or too long", len(b))
	}
	return Packet{
		Seq: binary.BigEndian.Uint32(b[0:]), Ack: binary.BigEndian.Uint32(b[4:]), Echo: binary.BigEndian.Uint32(b[8:]),
		Flags:         b[12],
		Dst:           netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[21:])), binary.BigEndian.Uint16(b[13:])),
		Src:           netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[17:])), binary.BigEndian.Uint16(b[15:])),
		Data:          append([]byte(nil), b[headerLength:]...),
		ChecksumValid: binary.BigEndian.Uint32(b[25:]) == checksum(b),
	}, nil
}
