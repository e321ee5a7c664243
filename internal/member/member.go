// Package member keeps the records of the VMs of one region: who is live, who
// is suspected, who has left.
package member

import (
	"net/netip"

	"knapweedshore.example/peerapi"
)

// Name identifies a VM within its region.
type Name string

// State orders the states of one incarnation: a higher one wins.
type State = peerapi.MemberState

// States of a member.
const (
	Alive   = peerapi.MemberState_MEMBER_STATE_ALIVE
	Leaving = peerapi.MemberState_MEMBER_STATE_LEAVING
	Suspect = peerapi.MemberState_MEMBER_STATE_SUSPECT
	Dead    = peerapi.MemberState_MEMBER_STATE_DEAD
	Left    = peerapi.MemberState_MEMBER_STATE_LEFT
)

// Member is the checked record of one VM.
type Member struct {
	Name    Name
	Region  string
	Zone    string
	Control netip.AddrPort
	Data    netip.AddrPort
	// Capacity is the VM's relative size; it weights the slots it owns.
	Capacity    uint32
	Incarnation uint64
	State       State
}

// Serves reports whether the member owns slots: alive, or suspected and not
// yet declared dead.
func (m Member) Serves() bool { return m.State == Alive || m.State == Suspect }
