package packet

// Checksum returns the Internet checksum (RFC 1071) of b.
func Checksum(b []byte) uint16 { return ^fold(sum(b, 0)) }

// sum adds the big-endian 16-bit words of b to s. An odd last byte is the high byte
// of a word.
func sum(b []byte, s uint64) uint64 {
	for len(b) >= 4 {
		s += uint64(be.Uint32(b))
		b = b[4:]
	}
	if len(b) >= 2 {
		s += uint64(be.Uint16(b))
		b = b[2:]
	}
	if len(b) == 1 {
		s += uint64(b[0]) << 8
	}
	return s
}

// fold reduces a sum of 16-bit or 32-bit words to 16 bits with end-around
// carries.
func fold(s uint64) uint16 {
	s = s>>32 + s&0xffff_ffff
	s = s>>32 + s&0xffff_ffff
	s = s>>16 + s&0xffff
	s = s>>16 + s&0xffff
	s = s>>16 + s&0xffff
	return uint16(s)
}

// delta accumulates the changes of 16-bit words for an incremental update:
// the sum of ~m + m' of RFC 1624, equation 3.
type delta uint64

// replace overwrites field with value and adds the change to d. The field must have
// an even length and an even offset from the start of the checksummed data.
func (d *delta) replace(field, value []byte) {
	for i := 0; i+1 < len(field); i += 2 {
		*d += delta(^be.Uint16(field[i:])) + delta(be.Uint16(value[i:]))
	}
	copy(field, value)
}

func (d *delta) replace16(field []byte, value uint16) {
	*d += delta(^be.Uint16(field)) + delta(value)
	be.PutUint16(field, value)
}

// update returns the checksum old after the changes in d: HC' = ~(~HC + d).
func (d delta) update(old uint16) uint16 {
	return ^fold(uint64(^old) + uint64(d))
}

// pseudoSum returns the sum of the pseudo header for a transport header and payload
// of n bytes.
func pseudoSum(addresses []byte, protocol byte, n int) uint64 {
	return sum(addresses, uint64(protocol)+uint64(n))
}
