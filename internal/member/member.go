// Package member tracks the VMs of one region: which of them are alive, leaving,
// suspected, dead or have left.
package member

import (
	"net/netip"

	"knapweedshore.example/peerapi"
)

// Name identifies a VM within its region.
type Name string

// State is the state of a member. Of two records with the same incarnation,
// the one with the higher state wins.
type State = peerapi.MemberState

// States of a member.
const (
	Alive   = peerapi.MemberState_MEMBER_STATE_ALIVE
	Leaving = peerapi.MemberState_MEMBER_STATE_LEAVING
	Suspect = peerapi.MemberState_MEMBER_STATE_SUSPECT
	Dead    = peerapi.MemberState_MEMBER_STATE_DEAD
	Left    = peerapi.MemberState_MEMBER_STATE_LEFT
)

// Member is the record of one VM.
type Member struct {
	Name    Name
	Region  string
	Zone    string
	Control netip.AddrPort
	Data    netip.AddrPort
	// Capacity is the VM's relative size. The number of slots that it owns is
	// proportional to it.
	Capacity uint32
	// Incarnation is raised by the member itself; a record with a higher one
	// replaces all earlier records of the member.
	Incarnation uint64
	State       State
}

// Serves reports whether the member owns slots. A suspected member keeps its
// slots until it is declared dead.
func (m Member) Serves() bool { return m.State == Alive || m.State == Suspect }
