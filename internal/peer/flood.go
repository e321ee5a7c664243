package peer

import (
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// floodRecords sends changed records to all linked peers but their sender.
// Peers that already know them send them no further.
func (n *Node) floodRecords(changed []member.Member, from member.Name) {
	for _, m := range recordMessages(changed) {
		n.flood(m, from)
	}
}

// FloodTables sends one table change to all linked peers but its sender.
func (n *Node) FloodTables(version tables.Version, delta []byte, from member.Name) {
	n.flood(&peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Tables{Tables: &peerapi.TablesUpdate{
		Version: uint64(version), Delta: delta,
	}}}, from)
}

// flood queues a message once for each linked peer. Two members of a small
// region may link to each other in both directions.
func (n *Node) flood(m *peerapi.LinkMessage, from member.Name) {
	for name, l := range n.linksByPeer() {
		if name != from {
			l.send(m)
		}
	}
}

// linksByPeer returns one link for each linked peer.
func (n *Node) linksByPeer() map[member.Name]*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[member.Name]*link, len(n.links))
	for l := range n.links {
		out[l.peer] = l
	}
	return out
}

// Linked returns the peers that have a link with this daemon.
func (n *Node) Linked() []member.Name {
	var names []member.Name
	for name := range n.linksByPeer() {
		names = append(names, name)
	}
	return names
}
