package entry

import "net/netip"

// withPort returns the address with another port.
func withPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}
