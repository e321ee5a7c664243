// Package settings parses and validates the INI files that configure a daemon. It
// reports all problems of a file together.
package settings

import "net/netip"

// Settings holds the validated settings of a daemon. It must not be modified.
type Settings struct {
	// Name is unique in the region.
	Name   string
	Region string
	Zone   string
	// Capacity is the capacity of the VM relative to the others, which determines
	// its share of the flows.
	Capacity uint32

	// Data is the UDP address that receives packets. Control is the TCP address
	// for peers and operators. Metrics is the TCP address where expvar is served.
	Data    netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
	// Fabrics are the UDP addresses of the fabric, to which packets are sent.
	Fabrics []netip.AddrPort
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort
	// Seeds are control addresses of other VMs of the region.
	Seeds []netip.AddrPort

	TLS TLS

	// Workers is the number of goroutines that handle packets, each with its own
	// socket.
	Workers int
	// MaxFlows is the maximum number of open flows.
	MaxFlows int
	// NewFlowsPerSecond is the maximum rate of new flows.
	NewFlowsPerSecond int
	// ExceptionBytesPerSecond is the maximum rate for sending exceptions to the
	// backup.
	ExceptionBytesPerSecond int
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// TLS holds the paths of the PEM files for TLS.
type TLS struct {
	CA, Cert, Key string
}
