package flow

import (
	"time"

	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// Observe records a packet that is forwarded to the other end of the flow and
// updates the flow's state. It must not be called for a packet that is dropped,
// such as the RST of a server for an unconfirmed adopted flow. An ICMP error
// changes nothing.
func (f *Flow) Observe(d Direction, info *packet.Info, now time.Time) Change {
	if info.ICMPError {
		return 0
	}
	ms := f.table.millis(now)
	data := info.PayloadLen > 0 || f.protocol == tables.UDP
	if d == FromServer {
		f.lastServer = ms
		f.unanswered = 0
		f.Clear(silentReported)
	} else {
		f.lastCaller = ms
		if data {
			f.recordCallerData(ms)
		}
	}
	if f.protocol == tables.UDP {
		return f.observeUDP(d)
	}
	return f.observeTCP(d, info.TCPFlags)
}

// recordCallerData records a packet with data from the caller.
func (f *Flow) recordCallerData(ms millis) {
	f.flags |= PayloadSent
	if f.unanswered == 0 {
		f.unansweredAt = ms
	}
	if f.unanswered < silentPackets {
		f.unanswered++
	}
}

func (f *Flow) observeUDP(d Direction) Change {
	if d == FromCaller {
		return 0
	}
	f.state = UDPAnswered
	return f.confirm()
}

func (f *Flow) observeTCP(d Direction, flags uint8) Change {
	if flags&packet.FlagRST != 0 {
		return f.observeReset(d)
	}
	var c Change
	if d == FromServer {
		c = f.confirm()
		if f.state == TCPOpening {
			f.state = TCPEstablished
		}
	}
	if flags&packet.FlagFIN != 0 {
		c |= f.observeFIN(d)
	}
	return c
}

// confirm records a response, which shows that the server knows the flow.
func (f *Flow) confirm() Change {
	if f.flags&Confirmed != 0 {
		return 0
	}
	f.flags |= Confirmed
	return BecameConfirmed
}

func (f *Flow) observeFIN(d Direction) Change {
	if d == FromCaller {
		f.flags |= finCaller
	} else {
		f.flags |= finServer
	}
	if f.Has(finCaller|finServer) && f.state != TCPClosing {
		f.state = TCPClosing
		return BecameClosing
	}
	return 0
}

func (f *Flow) observeReset(d Direction) Change {
	before := f.state
	f.state = TCPClosing
	switch {
	case before == TCPClosing:
		return 0
	case before == TCPOpening && d == FromServer:
		return BecameClosing | WasRefused
	}
	return BecameClosing
}

// Reopens reports whether a packet of the caller opens a new connection with the
// ports of this flow, which is closing. The caller of Reopens should then close
// the flow and handle the packet as that of an unknown flow, so that it gets a
// server that accepts new flows.
func (f *Flow) Reopens(info *packet.Info) bool {
	return f.state == TCPClosing && info.IsSYN()
}
