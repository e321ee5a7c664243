package carrier

import (
	"encoding/binary"

	"knapweedshore.example/internal/metrics"
)

// HopKind tells why one balancer sent a packet on to another.
type HopKind uint8

// Kinds of hops.
const (
	// HopNone: the packet comes from or goes to the fabric.
	HopNone HopKind = iota
	// HopOwner: the receiver owns the packet's slot in the sender's view.
	HopOwner
	// HopPredecessor: the sender owns the slot and asks its predecessor whether
	// it knows the flow.
	HopPredecessor
	// HopUnknown: a predecessor returns the packet of a flow it does not know.
	HopUnknown
	// HopKnown: a predecessor returns the packet of a flow that is on Server.
	HopKnown
)

// Hop is the hop option of a packet between balancers.
type Hop struct {
	Kind HopKind
	// Count is the number of hops that the packet has made with this one.
	Count uint8
	// Confirmed tells, with HopKnown, that the server has responded.
	Confirmed bool
	// Server is the id of the flow's server, with HopKnown.
	Server uint32
}

// Geneve header (RFC 8926) and hop option.
const (
	headerLen = 8
	optionLen = 4 // without data
	hopLen    = optionLen + 8
	// MaxOverhead is the length of the longest header that this package writes.
	MaxOverhead = headerLen + hopLen

	protocolIPv4 = 0x0800
	protocolIPv6 = 0x86dd

	hopClass     = 0xfff0 // from the range for experiments
	hopType      = 0x01
	hopConfirmed = 0x01 // bit of the third data byte

	critical = 0x80 // bit of the option type
	control  = 0x80 // O bit of the second byte
)

// RefusalError reports why a datagram is not a Geneve packet that this package
// accepts. All values are declared in advance.
type RefusalError struct {
	// Reason is the counter of this refusal.
	Reason metrics.Reason
	detail string
}

// Error returns the reason with the part of the header it concerns.
func (e *RefusalError) Error() string {
	return "geneve packet refused: " + string(e.Reason) + ": " + e.detail
}

var (
	errShort    = &RefusalError{metrics.Truncated, "header"}
	errNoInner  = &RefusalError{metrics.Truncated, "no inner packet"}
	errDatagram = &RefusalError{metrics.Truncated, "datagram longer than the receive buffer"}
	errOption   = &RefusalError{metrics.Malformed, "option length"}
	errHop      = &RefusalError{metrics.Malformed, "hop option"}
	errInner    = &RefusalError{metrics.Malformed, "inner packet is not of the stated IP version"}
	errVersion  = &RefusalError{metrics.UnsupportedHeader, "version"}
	errControl  = &RefusalError{metrics.UnsupportedHeader, "control packet"}
	errNetwork  = &RefusalError{metrics.UnsupportedHeader, "virtual network other than 0"}
	errProtocol = &RefusalError{metrics.UnsupportedHeader, "protocol type"}
	errCritical = &RefusalError{metrics.UnsupportedHeader, "unknown critical option"}
)

// Decode reads a Geneve packet and returns the inner IP packet, as a part of
// b, and the hop option. Unknown options are skipped unless they are critical.
// The error is a *RefusalError.
func Decode(b []byte) ([]byte, Hop, error) {
	inner, hop, err := decode(b)
	if err != nil {
		return nil, Hop{}, err
	}
	return inner, hop, nil
}

func decode(b []byte) ([]byte, Hop, *RefusalError) {
	if len(b) < headerLen {
		return nil, Hop{}, errShort
	}
	options := int(b[0]&0x3f) * 4
	if len(b) < headerLen+options {
		return nil, Hop{}, errShort
	}
	if err := checkFixed(b); err != nil {
		return nil, Hop{}, err
	}
	inner := b[headerLen+options:]
	if err := checkInner(inner, binary.BigEndian.Uint16(b[2:])); err != nil {
		return nil, Hop{}, err
	}
	if options == 0 {
		return inner, Hop{}, nil
	}
	hop, err := decodeOptions(b[headerLen : headerLen+options])
	return inner, hop, err
}

// checkFixed checks the fields that have a single accepted value. A VNI other
// than 0 would be another network, whose addresses may mean other hosts.
func checkFixed(b []byte) *RefusalError {
	switch {
	case b[0]>>6 != 0:
		return errVersion
	case b[1]&control != 0:
		return errControl
	case b[4]|b[5]|b[6] != 0:
		return errNetwork
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

// protocolOf returns the protocol type of an IP packet, or 0.
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
				return Hop{}, errHop
			}
		case b[2]&critical != 0:
			return Hop{}, errCritical
		}
		b = b[n:]
	}
	return hop, nil
}

func (h *Hop) decode(option []byte) bool {
	if len(option) != hopLen {
		return false
	}
	h.Kind, h.Count = HopKind(option[4]), option[5]
	h.Confirmed = option[6]&hopConfirmed != 0
	h.Server = binary.BigEndian.Uint32(option[8:])
	return h.Kind >= HopOwner && h.Kind <= HopKnown
}

// AppendHeader appends to dst the Geneve header for an inner IP packet, with
// the hop option unless hop is HopNone. The inner packet follows the header.
func AppendHeader(dst, inner []byte, hop Hop) []byte {
	p := protocolOf(inner)
	if hop.Kind == HopNone {
		return append(dst, 0, 0, byte(p>>8), byte(p), 0, 0, 0, 0)
	}
	dst = append(dst, hopLen/4, 0, byte(p>>8), byte(p), 0, 0, 0, 0,
		hopClass>>8, hopClass&0xff, hopType, (hopLen-optionLen)/4,
		byte(hop.Kind), hop.Count, hop.flags(), 0)
	return binary.BigEndian.AppendUint32(dst, hop.Server)
}

func (h Hop) flags() byte {
	if h.Confirmed {
		return hopConfirmed
	}
	return 0
}
