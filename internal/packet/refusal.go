package packet

import "knapweedshore.example/internal/metrics"

// RefusalError reports why a packet cannot be handled. All values are
// declared in advance, so that a refusal does not allocate.
type RefusalError struct {
	// Reason is the counter of this refusal.
	Reason metrics.Reason
	detail string
}

// Error returns the reason with the part of the packet it concerns.
func (e *RefusalError) Error() string {
	return "packet refused: " + string(e.Reason) + ": " + e.detail
}

var (
	errVersion         = refuse(metrics.Malformed, "IP version is neither 4 nor 6")
	errHeaderLength    = refuse(metrics.Malformed, "IPv4 header length below 20 bytes")
	errTotalLength     = refuse(metrics.Malformed, "IPv4 total length shorter than its header")
	errHeaderChecksum  = refuse(metrics.Malformed, "IPv4 header checksum")
	errAddress         = refuse(metrics.Malformed, "source or destination address is not unicast")
	errTCPOffset       = refuse(metrics.Malformed, "TCP header length below 20 bytes")
	errUDPLength       = refuse(metrics.Malformed, "UDP length does not fit the packet")
	errUDPChecksum     = refuse(metrics.Malformed, "UDP checksum 0 over IPv6")
	errEmbeddedVersion = refuse(metrics.Malformed, "ICMP error embeds a packet of another IP version")
	errEmbeddedSource  = refuse(metrics.Malformed, "ICMP error is not addressed to the embedded source")

	errShortIP       = refuse(metrics.Truncated, "IP header")
	errShortPacket   = refuse(metrics.Truncated, "IP payload")
	errShortTCP      = refuse(metrics.Truncated, "TCP header")
	errShortUDP      = refuse(metrics.Truncated, "UDP header")
	errShortICMP     = refuse(metrics.Truncated, "ICMP header")
	errShortEmbedded = refuse(metrics.Truncated, "packet embedded in an ICMP error")

	errFragment         = refuse(metrics.Fragment, "IP fragment")
	errEmbeddedFragment = refuse(metrics.Fragment, "ICMP error embeds a later fragment")

	errProtocol         = refuse(metrics.UnsupportedHeader, "protocol or IPv6 extension header")
	errICMPType         = refuse(metrics.UnsupportedHeader, "ICMP message is not an error about a packet")
	errEmbeddedProtocol = refuse(metrics.UnsupportedHeader, "ICMP error embeds neither TCP nor UDP")
)

func refuse(r metrics.Reason, detail string) *RefusalError {
	return &RefusalError{Reason: r, detail: detail}
}
