package peer

import (
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// recordsPerMessage limits the records in one sent message, so that it fits into a few
// TLS records. A message that coalesces others has fewer than twice as many.
const recordsPerMessage = 64

// hello returns the first message on a link.
func (n *Node) hello() *peerapi.LinkMessage {
	return &peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Hello{Hello: &peerapi.Hello{
		Self: n.cfg.Table.View().Self.Record(), TablesVersion: uint64(n.cfg.Tables.Version()),
	}}}
}

// heartbeat returns a heartbeat for a peer. It acknowledges the peer's incarnation
// only if the peer is alive or leaving. A suspected or dead peer must first raise
// its incarnation.
func (n *Node) heartbeat(to member.Name, sequence uint64) *peerapi.LinkMessage {
	v := n.cfg.Table.View()
	h := &peerapi.Heartbeat{
		Sequence: sequence, Incarnation: v.Self.Incarnation,
		TablesVersion: uint64(n.cfg.Tables.Version()),
		TablesAgeMs:   uint64(n.cfg.Tables.Age().Milliseconds()),
	}
	if m, ok := v.Get(to); ok && (m.State == member.Alive || m.State == member.Leaving) {
		h.AckedIncarnation = m.Incarnation
	}
	return &peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Heartbeat{Heartbeat: h}}
}

// memberUpdates returns messages that hold the records of members.
func memberUpdates(members []member.Member) []*peerapi.LinkMessage {
	var messages []*peerapi.LinkMessage
	for len(members) > 0 {
		count := min(len(members), recordsPerMessage)
		records := make([]*peerapi.MemberRecord, count)
		for i, m := range members[:count] {
			records[i] = m.Record()
		}
		messages = append(messages, memberUpdate(records))
		members = members[count:]
	}
	return messages
}

func memberUpdate(records []*peerapi.MemberRecord) *peerapi.LinkMessage {
	update := &peerapi.MemberUpdate{Records: records}
	return &peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Members{Members: update}}
}

// handle handles one message from the peer.
func (l *link) handle(m *peerapi.LinkMessage) {
	cfg := &l.node.cfg
	switch {
	case m.GetHeartbeat() != nil:
		l.handleHeartbeat(m.GetHeartbeat())
	case m.GetMembers() != nil:
		valid, malformed := checkRecords(m.GetMembers())
		for range malformed {
			cfg.Metrics.Refused(metrics.Malformed)
		}
		cfg.Table.Apply(l.peer, valid)
	case m.GetTables() != nil:
		if err := checkTables(m.GetTables()); err != nil {
			cfg.Metrics.Refused(metrics.Malformed)
			return
		}
		cfg.Tables.Offer(l.peer, tables.Version(m.GetTables().GetVersion()), m.GetTables().GetDelta())
	default: // a second hello, or a kind of message that this version does not know
		cfg.Metrics.Refused(metrics.Malformed)
	}
}

// handleHeartbeat handles a heartbeat, and resends records that may have been
// dropped: this daemon's record until the peer acknowledges it, and the peer's own
// record if it is suspected or dead, so that the peer can refute.
func (l *link) handleHeartbeat(h *peerapi.Heartbeat) {
	table := l.node.cfg.Table
	acked := h.GetAckedIncarnation()
	l.acked.Store(acked)
	table.HandleHeartbeat(l.peer, acked)
	l.node.cfg.Tables.ObserveVersion(l.peer, tables.Version(h.GetTablesVersion()), ageFromMillis(h.GetTablesAgeMs()))

	v := table.View()
	var resend []member.Member
	if acked < v.Self.Incarnation {
		resend = append(resend, v.Self)
	}
	if m, ok := v.Get(l.peer); ok && m.Incarnation >= h.GetIncarnation() &&
		(m.State == member.Suspect || m.State == member.Dead) {
		resend = append(resend, m)
	}
	for _, m := range memberUpdates(resend) {
		l.send(m)
	}
}
