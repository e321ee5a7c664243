package tables

import (
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
)

// ParseProtocol parses "tcp" or "udp".
func ParseProtocol(text string) (Protocol, error) {
	switch text {
	case "tcp":
		return TCP, nil
	case "udp":
		return UDP, nil
	}
	return 0, errors.Errorf("protocol %q is not tcp or udp", text)
}

// ParseAddress parses ADDR:PORT/PROTOCOL. Without /PROTOCOL, as in the
// reservation of an endpoint, the protocol of the result is 0.
func ParseAddress(text string) (Address, error) {
	addr, protocol, found := strings.Cut(text, "/")
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Address{}, errors.Wrapf(err, "address %q", text)
	}
	if !found {
		return Address{AddrPort: ap}, nil
	}
	p, err := ParseProtocol(protocol)
	if err != nil {
		return Address{}, errors.Wrapf(err, "address %q", text)
	}
	return Address{AddrPort: ap, Protocol: p}, nil
}

// String returns ADDR:PORT/PROTOCOL, or ADDR:PORT if the protocol is 0.
func (a Address) String() string {
	if a.Protocol == 0 {
		return a.AddrPort.String()
	}
	return a.AddrPort.String() + "/" + a.Protocol.String()
}

// MarshalText implements encoding.TextMarshaler. The zero Address becomes an
// empty text.
func (a Address) MarshalText() ([]byte, error) {
	if a == (Address{}) {
		return nil, nil
	}
	return []byte(a.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) (err error) {
	if len(text) == 0 {
		*a = Address{}
		return nil
	}
	*a, err = ParseAddress(string(text))
	return err
}

func compareAddress(a, b Address) int {
	if a.Protocol != b.Protocol {
		return int(a.Protocol) - int(b.Protocol)
	}
	return a.AddrPort.Compare(b.AddrPort)
}
