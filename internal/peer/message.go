package peer

import (
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// recordsPerMessage keeps one message within a few TLS records.
const recordsPerMessage = 64

func (n *Node) hello() *peerapi.LinkMessage {
	return &peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Hello{Hello: &peerapi.Hello{
		Self: n.cfg.Table.View().Self.Record(), TablesVersion: uint64(n.cfg.Tables.Version()),
	}}}
}

// heartbeat acknowledges the peer's incarnation only if it counts as present
// here; a suspected or dead peer must announce a new one.
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

func recordMessages(members []member.Member) []*peerapi.LinkMessage {
	var out []*peerapi.LinkMessage
	for len(members) > 0 {
		count := min(len(members), recordsPerMessage)
		records := make([]*peerapi.MemberRecord, count)
		for i, m := range members[:count] {
			records[i] = m.Record()
		}
		out = append(out, recordMessage(records))
		members = members[count:]
	}
	return out
}

func recordMessage(records []*peerapi.MemberRecord) *peerapi.LinkMessage {
	update := &peerapi.MemberUpdate{Records: records}
	return &peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Members{Members: update}}
}

// handle acts on one message from the peer.
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
	default: // a second hello or a kind of a later version
		cfg.Metrics.Refused(metrics.Malformed)
	}
}

// handleHeartbeat also repairs what a dropped message left behind: the peer
// gets this daemon's record until it acknowledges it, and its own record if it
// is suspected or dead here, so that it can refute.
func (l *link) handleHeartbeat(h *peerapi.Heartbeat) {
	table := l.node.cfg.Table
	acked := h.GetAckedIncarnation()
	l.acked.Store(acked)
	table.HandleHeartbeat(l.peer, acked)
	l.node.cfg.Tables.ObserveVersion(l.peer, tables.Version(h.GetTablesVersion()), durationOf(h.GetTablesAgeMs()))

	v := table.View()
	var repair []member.Member
	if acked < v.Self.Incarnation {
		repair = append(repair, v.Self)
	}
	if m, ok := v.Get(l.peer); ok && m.Incarnation >= h.GetIncarnation() &&
		(m.State == member.Suspect || m.State == member.Dead) {
		repair = append(repair, m)
	}
	for _, m := range recordMessages(repair) {
		l.send(m)
	}
}
