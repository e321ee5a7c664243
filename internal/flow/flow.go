package flow

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/tables"
)

// Flow is the record of one flow. It is valid only while its shard is locked.
//
// The record is small because a daemon holds hundreds of thousands of them: the
// service address and the endpoint are ids of interned values, and packet times
// are milliseconds modulo 2^32 (49 days, far above any idle timeout).
type Flow struct {
	table  *Table
	opened time.Duration // since table.epoch
	caller [16]byte

	address  uint32 // id in table.addresses
	endpoint uint32 // id in table.endpoints
	route    tables.RouteID
	server   tables.ServerID

	lastCaller   millis
	lastServer   millis
	unansweredAt millis // time of the caller's first data packet since the last response

	forwardNext index
	reverseNext index

	callerPort uint16
	slot       uint16
	flags      Flags
	protocol   tables.Protocol
	state      State
	// unanswered counts data packets of the caller since the last response, up
	// to silentPackets.
	unanswered uint8
}

// millis is a time since the table's epoch in milliseconds modulo 2^32.
type millis uint32

// until returns the time from m to now, or 0 if m is later. That happens when two
// goroutines read the clock before they locked the shard.
func (m millis) until(now millis) time.Duration {
	return time.Duration(max(0, int32(now-m))) * time.Millisecond
}

// Caller returns the caller's address and port.
func (f *Flow) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(f.caller).Unmap(), f.callerPort)
}

// Address returns the service address that the caller uses.
func (f *Flow) Address() tables.Address { return f.table.addresses.value(f.address) }

// Endpoint returns the address and port of the flow's server.
func (f *Flow) Endpoint() netip.AddrPort { return f.table.endpoints.value(f.endpoint) }

// Route returns the id of the flow's route.
func (f *Flow) Route() tables.RouteID { return f.route }

// Server returns the id of the flow's server.
func (f *Flow) Server() tables.ServerID { return f.server }

// Slot returns the slot of the flow's caller.
func (f *Flow) Slot() uint32 { return uint32(f.slot) }

// State returns the state of the flow.
func (f *Flow) State() State { return f.state }

// Fingerprint returns the fingerprint of the flow.
func (f *Flow) Fingerprint() uint64 { return Fingerprint(f.Caller(), f.Address()) }

// Has reports whether the flow has all of these flags.
func (f *Flow) Has(flags Flags) bool { return f.flags&flags == flags }

// Set sets these flags.
func (f *Flow) Set(flags Flags) { f.flags |= flags }

// Clear clears these flags.
func (f *Flow) Clear(flags Flags) { f.flags &^= flags }

// Opened returns when the flow was opened or adopted by this daemon.
func (f *Flow) Opened() time.Time { return f.table.epoch.Add(f.opened) }

// SinceCaller returns the time since the caller's last packet.
func (f *Flow) SinceCaller(now time.Time) time.Duration {
	return f.lastCaller.until(f.table.millis(now))
}

// SinceServer returns the time since the server's last packet, or since the
// flow was opened if the server has sent none.
func (f *Flow) SinceServer(now time.Time) time.Duration {
	return f.lastServer.until(f.table.millis(now))
}

// Idle returns the time since the last packet of either direction.
func (f *Flow) Idle(now time.Time) time.Duration { return f.idle(f.table.millis(now)) }

func (f *Flow) idle(now millis) time.Duration {
	return min(f.lastCaller.until(now), f.lastServer.until(now))
}

// Silent reports whether the caller has sent data repeatedly, over at least
// SilentAfter, without any packet from the server. A flow without packets from
// either end is not silent, however long it lasts.
func (f *Flow) Silent() bool {
	return f.state != TCPClosing && f.unanswered >= silentPackets &&
		f.unansweredAt.until(f.lastCaller) >= SilentAfter
}
