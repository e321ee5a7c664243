// Package settings turns a daemon's INI file into checked settings in one pass.
package settings

import "net/netip"

// Settings of one daemon. They are checked and must not be changed.
type Settings struct {
	// Name is unique in the region.
	Name   string
	Region string
	Zone   string
	// Capacity is the VM's relative size.
	Capacity uint32

	// Data is where packets arrive, Control where peers and operators connect,
	// Metrics where expvar is served.
	Data    netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
	// Fabrics are the addresses that packets are sent to.
	Fabrics []netip.AddrPort
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort
	// Seeds are control addresses of other VMs of the region.
	Seeds []netip.AddrPort

	TLS TLS

	// Workers is the number of sockets and goroutines that handle packets.
	Workers int
	// MaxFlows bounds the flow table.
	MaxFlows int
	// NewFlowsPerSecond bounds the rate of new flows.
	NewFlowsPerSecond int
	// ExceptionBytesPerSecond is the budget for making exceptions known to
	// the backup.
	ExceptionBytesPerSecond int
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// TLS names the key files, in PEM.
type TLS struct {
	CA, Cert, Key string
}
