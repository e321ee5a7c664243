// Package configcheck finds mistakes in a configuration before it takes effect, and
// compares it with the version in force.
package configcheck

import (
	"net/netip"
	"time"
)

// Position is where something stands in a configuration file.
type Position struct {
	// Path names the value, such as routes[3].timeout_ms.
	Path string
	// Line counts from 1; zero if unknown.
	Line int
}

// Document is a configuration as written, before it is known to be valid.
type Document struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	// Limits are the limits of flows and requests by name. Those in bytes and in
	// milliseconds are kept as plain numbers.
	Limits []Limit
	// FlowIdle is the time after which an idle flow may be discarded; zero if unset.
	FlowIdle time.Duration
}

// Route is an entry of the routes.
type Route struct {
	Position
	Name    string
	Address netip.AddrPort
	Kind    string
	// Shares are the pools in order, with weights; a weight of zero gets no flows.
	Shares                 []Share
	Timeout, TargetLatency time.Duration
	Priority               int
}

// Share is a pool of a route.
type Share struct {
	Pool   string
	Weight int
}

// Pool is an entry of the pools.
type Pool struct {
	Position
	Name string
	// Settings holds the other settings of the pool as text, by name.
	Settings map[string]string
}

// Limit is a named limit.
type Limit struct {
	Position
	Name  string
	Value float64
}
