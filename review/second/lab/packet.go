// Package lab has the stand-ins of the second review: the platform's store, routers,
// backend servers and callers on loopback addresses, and the daemons as processes of their own.
// They follow the platform's pages.
package lab

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	ACK = 4
	FIN = 8
	RST = 32
	SYN = 64
)

const (
	headLen     = 31
	envelopeLen = 8
	echoOffset  = 8
	sumOffset   = 25
)

// Packet is a packet of a flow.
type Packet struct {
	Seq, Ack, Echo uint32
	Flags          byte
	Src, Dst       netip.AddrPort
	Data           []byte
	// Valid is set on a decoded packet whose checksum is right.
	Valid bool
}

// sumKey is the key of the checksum, which the system does not know.
const sumKey = "review-second"

func checksum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(b[:echoOffset])
	h.Write(b[echoOffset+4 : sumOffset])
	h.Write(b[sumOffset+4:])
	return h.Sum32() | 1 // never 0, which marks a reset of the system
}

// Encode returns the packet in the platform's format.
func (p Packet) Encode() []byte {
	b := make([]byte, headLen, headLen+len(p.Data))
	binary.BigEndian.PutUint32(b[0:], p.Seq)
	binary.BigEndian.PutUint32(b[4:], p.Ack)
	binary.BigEndian.PutUint32(b[echoOffset:], p.Echo)
	b[12] = p.Flags
	binary.BigEndian.PutUint16(b[13:], p.Dst.Port())
	binary.BigEndian.PutUint16(b[15:], p.Src.Port())
	src, dst := p.Src.Addr().As4(), p.Dst.Addr().As4()
	copy(b[17:], src[:])
	copy(b[21:], dst[:])
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.Data)))
	b = append(b, p.Data...)
	binary.BigEndian.PutUint32(b[sumOffset:], checksum(b))
	return b
}

// Decode decodes a packet.
func Decode(b []byte) (Packet, error) {
	if len(b) < headLen || len(b) != headLen+int(binary.BigEndian.Uint16(b[29:])) {
		return Packet{}, errors.New("packet has a wrong length")
	}
	p := Packet{
		Seq: binary.BigEndian.Uint32(b[0:]), Ack: binary.BigEndian.Uint32(b[4:]), Echo: binary.BigEndian.Uint32(b[echoOffset:]), Flags: b[12],
		Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[17:21])), binary.BigEndian.Uint16(b[15:])),
		Dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[21:25])), binary.BigEndian.Uint16(b[13:])),
	}
	p.Data = append(p.Data, b[headLen:]...)
	p.Valid = binary.BigEndian.Uint32(b[sumOffset:]) == checksum(b)
	return p, nil
}
