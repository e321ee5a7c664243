package packet

import "knapweedshore.example/internal/metrics"

// RefusalError reports why a packet cannot be handled. All values are allocated
// once, so that refusing a packet does not allocate.
type RefusalError struct {
	// Reason names the counter of this refusal.
	Reason metrics.Reason
	detail string
}

// Error returns the reason and the part of the packet that it concerns.
func (e *RefusalError) Error() string {
	return "packet refused: " + string(e.Reason) + ": " + e.detail
}

var (
	errVersion         = newRefusal(metrics.Malformed, "IP version is neither 4 nor 6")
	errHeaderLength    = newRefusal(metrics.Malformed, "IPv4 header length below 20 bytes")
	errTotalLength     = newRefusal(metrics.Malformed, "IPv4 total length shorter than its header")
	errHeaderChecksum  = newRefusal(metrics.Malformed, "wrong IPv4 header checksum")
	errAddress         = newRefusal(metrics.Malformed, "source or destination address is not unicast")
	errTCPOffset       = newRefusal(metrics.Malformed, "TCP header length below 20 bytes")
	errUDPLength       = newRefusal(metrics.Malformed, "UDP length does not fit the packet")
	errUDPChecksum     = newRefusal(metrics.Malformed, "UDP checksum 0 over IPv6")
	errEmbeddedVersion = newRefusal(metrics.Malformed, "ICMP error embeds a packet of another IP version")
	errEmbeddedSource  = newRefusal(metrics.Malformed, "ICMP error is not addressed to the embedded source")

	errShortIP       = newRefusal(metrics.Truncated, "IP header")
	errShortPacket   = newRefusal(metrics.Truncated, "IP payload")
	errShortTCP      = newRefusal(metrics.Truncated, "TCP header")
	errShortUDP      = newRefusal(metrics.Truncated, "UDP header")
	errShortICMP     = newRefusal(metrics.Truncated, "ICMP header")
	errShortEmbedded = newRefusal(metrics.Truncated, "packet embedded in an ICMP error")

	errFragment         = newRefusal(metrics.Fragment, "IP fragment")
	errEmbeddedFragment = newRefusal(metrics.Fragment, "ICMP error embeds a later fragment")

	errProtocol         = newRefusal(metrics.UnsupportedHeader, "protocol or IPv6 extension header")
	errICMPType         = newRefusal(metrics.UnsupportedHeader, "ICMP message is not an error about a packet")
	errEmbeddedProtocol = newRefusal(metrics.UnsupportedHeader, "ICMP error embeds neither TCP nor UDP")
)

func newRefusal(r metrics.Reason, detail string) *RefusalError {
	return &RefusalError{Reason: r, detail: detail}
}
