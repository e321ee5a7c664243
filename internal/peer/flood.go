package peer

import (
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// floodRecords sends changed records to all linked peers except from. A peer that
// already knows a record does not forward it.
func (n *Node) floodRecords(changed []member.Member, from member.Name) {
	for _, m := range memberUpdates(changed) {
		n.flood(m, from)
	}
}

// FloodTables sends one table change to all linked peers except from.
func (n *Node) FloodTables(version tables.Version, delta []byte, from member.Name) {
	n.flood(&peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Tables{Tables: &peerapi.TablesUpdate{
		Version: uint64(version), Delta: delta,
	}}}, from)
}

// flood queues a message once for each linked peer except from. In a small region,
// two members may have two links, one in each direction.
func (n *Node) flood(m *peerapi.LinkMessage, from member.Name) {
	for name, l := range n.linksByPeer() {
		if name != from {
			l.send(m)
		}
	}
}

// linksByPeer returns one link of each linked peer.
func (n *Node) linksByPeer() map[member.Name]*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := make(map[member.Name]*link, len(n.links))
	for l := range n.links {
		links[l.peer] = l
	}
	return links
}

// Linked returns the names of the peers that have a link with this daemon.
func (n *Node) Linked() []member.Name {
	var names []member.Name
	for name := range n.linksByPeer() {
		names = append(names, name)
	}
	return names
}
