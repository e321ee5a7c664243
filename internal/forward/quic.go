package forward

// Bits of the first byte of a QUIC packet (RFC 8999 and RFC 9000).
const (
	quicLongHeaderBit = 0x80
	quicFixedBit      = 0x40
)

// shortHeader reports whether a UDP payload starts like a QUIC packet with a
// short header, which only established connections send.
func shortHeader(payload []byte) bool {
	return len(payload) > 0 && payload[0]&(quicLongHeaderBit|quicFixedBit) == quicFixedBit
}

// longHeader reports whether a UDP payload starts like a QUIC packet with a
// long header, which connections send only while they open.
func longHeader(payload []byte) bool {
	return len(payload) > 0 && payload[0]&(quicLongHeaderBit|quicFixedBit) == quicLongHeaderBit|quicFixedBit
}
