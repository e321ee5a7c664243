package carrier

import (
	"encoding/binary"

	"knapweedshore.example/internal/metrics"
)

// HopKind tells why one balancer forwarded a packet to another.
type HopKind uint8

// Kinds of hops.
const (
	// HopNone: the packet comes from the fabric or goes to it.
	HopNone HopKind = iota
	// HopOwner: in the sender's view, the receiver owns the packet's slot.
	HopOwner
	// HopPredecessor: the sender asks a predecessor, a former owner of the slot or the
	// backup of one, whether it knows the flow.
	HopPredecessor
	// HopUnknown: the predecessor returns a packet whose flow it does not know.
	HopUnknown
	// HopKnown: the predecessor returns a packet whose flow is on Hop.Server.
	HopKnown
)

// Hop is the hop option of a packet between balancers.
type Hop struct {
	Kind HopKind
	// Count is the number of hops between balancers, including this one.
	Count uint8
	// Confirmed tells whether the server has responded to the flow. It is used with
	// HopKnown.
	Confirmed bool
	// Server is the id of the flow's server. It is used with HopKnown.
	Server uint32
}

// Geneve header (RFC 8926) and hop option.
const (
	geneveHeaderLen = 8
	optionLen       = 4 // without data
	hopOptionLen    = optionLen + 8
	// MaxOverhead is the length in bytes of the longest header that this package
	// writes.
	MaxOverhead = geneveHeaderLen + hopOptionLen

	protocolIPv4 = 0x0800
	protocolIPv6 = 0x86dd

	hopClass         = 0xfff0 // from the range for experiments
	hopType          = 0x01
	hopFlagConfirmed = 0x01 // bit of the third data byte

	optionCritical = 0x80 // bit of the option type
	flagControl    = 0x80 // O bit of the second byte
)

// RefusalError reports why a datagram is not a Geneve packet that this package
// accepts. All values are allocated once, so that refusing a datagram does not
// allocate.
type RefusalError struct {
	// Reason names the counter of this refusal.
	Reason metrics.Reason
	detail string
}

// Error returns the reason and the part of the header that it concerns.
func (e *RefusalError) Error() string {
	return "geneve packet refused: " + string(e.Reason) + ": " + e.detail
}

var (
	errShort     = &RefusalError{metrics.Truncated, "header"}
	errNoInner   = &RefusalError{metrics.Truncated, "no inner packet"}
	errDatagram  = &RefusalError{metrics.Truncated, "datagram longer than the receive buffer"}
	errOption    = &RefusalError{metrics.Malformed, "option length"}
	errHopOption = &RefusalError{metrics.Malformed, "hop option"}
	errInner     = &RefusalError{metrics.Malformed, "inner packet is not of the stated IP version"}
	errVersion   = &RefusalError{metrics.UnsupportedHeader, "version"}
	errControl   = &RefusalError{metrics.UnsupportedHeader, "control packet"}
	errVNI       = &RefusalError{metrics.UnsupportedHeader, "virtual network other than 0"}
	errProtocol  = &RefusalError{metrics.UnsupportedHeader, "protocol type"}
	errCritical  = &RefusalError{metrics.UnsupportedHeader, "unknown critical option"}
)

// Decode parses a Geneve packet. It returns the inner IP packet, which is a slice
// of b, and the hop option. Unknown options are skipped unless they are critical.
// The error is a *RefusalError.
func Decode(b []byte) ([]byte, Hop, error) {
	inner, hop, err := decode(b)
	if err != nil {
		return nil, Hop{}, err
	}
	return inner, hop, nil
}

func decode(b []byte) ([]byte, Hop, *RefusalError) {
	if len(b) < geneveHeaderLen {
		return nil, Hop{}, errShort
	}
	optionsLen := int(b[0]&0x3f) * 4
	if len(b) < geneveHeaderLen+optionsLen {
		return nil, Hop{}, errShort
	}
	if err := checkFixedFields(b); err != nil {
		return nil, Hop{}, err
	}
	inner := b[geneveHeaderLen+optionsLen:]
	if err := checkInner(inner, binary.BigEndian.Uint16(b[2:])); err != nil {
		return nil, Hop{}, err
	}
	if optionsLen == 0 {
		return inner, Hop{}, nil
	}
	hop, err := decodeOptions(b[geneveHeaderLen : geneveHeaderLen+optionsLen])
	return inner, hop, err
}

// checkFixedFields checks the fields that have a single accepted value. A VNI
// other than 0 is another network, whose addresses may belong to other hosts.
func checkFixedFields(b []byte) *RefusalError {
	switch {
	case b[0]>>6 != 0:
		return errVersion
	case b[1]&flagControl != 0:
		return errControl
	case b[4]|b[5]|b[6] != 0:
		return errVNI
	}
	return nil
}

func checkInner(inner []byte, protocol uint16) *RefusalError {
	if protocol != protocolIPv4 && protocol != protocolIPv6 {
		return errProtocol
	}
	if len(inner) == 0 {
		return errNoInner
	}
	if protocolOf(inner) != protocol {
		return errInner
	}
	return nil
}

// protocolOf returns the Geneve protocol type of an IP packet, or 0 if it is
// neither IPv4 nor IPv6.
func protocolOf(inner []byte) uint16 {
	if len(inner) == 0 {
		return 0
	}
	switch inner[0] >> 4 {
	case 4:
		return protocolIPv4
	case 6:
		return protocolIPv6
	}
	return 0
}

func decodeOptions(b []byte) (Hop, *RefusalError) {
	var hop Hop
	for len(b) > 0 {
		if len(b) < optionLen {
			return Hop{}, errOption
		}
		n := optionLen + int(b[3]&0x1f)*4
		if n > len(b) {
			return Hop{}, errOption
		}
		switch {
		case binary.BigEndian.Uint16(b) == hopClass && b[2] == hopType:
			if hop.Kind != HopNone || !hop.decode(b[:n]) {
				return Hop{}, errHopOption
			}
		case b[2]&optionCritical != 0:
			return Hop{}, errCritical
		}
		b = b[n:]
	}
	return hop, nil
}

func (h *Hop) decode(option []byte) bool {
	if len(option) != hopOptionLen {
		return false
	}
	h.Kind, h.Count = HopKind(option[4]), option[5]
	h.Confirmed = option[6]&hopFlagConfirmed != 0
	h.Server = binary.BigEndian.Uint32(option[8:])
	return h.Kind >= HopOwner && h.Kind <= HopKnown
}

// AppendHeader appends to dst the Geneve header for an inner IP packet, with the
// hop option unless the kind is HopNone. The inner packet itself is not appended.
func AppendHeader(dst, inner []byte, hop Hop) []byte {
	p := protocolOf(inner)
	if hop.Kind == HopNone {
		return append(dst, 0, 0, byte(p>>8), byte(p), 0, 0, 0, 0)
	}
	dst = append(dst, hopOptionLen/4, 0, byte(p>>8), byte(p), 0, 0, 0, 0,
		hopClass>>8, hopClass&0xff, hopType, (hopOptionLen-optionLen)/4,
		byte(hop.Kind), hop.Count, hop.flags(), 0)
	return binary.BigEndian.AppendUint32(dst, hop.Server)
}

func (h Hop) flags() byte {
	if h.Confirmed {
		return hopFlagConfirmed
	}
	return 0
}
