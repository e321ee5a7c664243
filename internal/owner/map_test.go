package owner

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Name: member.Name(fmt.Sprintf("vm-%d", i)), Capacity: uint32(50 + 50*(i%4))}
	}
	return out
}

// Guards against two VMs that compute different owners for the same members
// because they learned of them in another order or in other steps.
func TestMapDependsOnlyOnTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(6)
		start := rapid.Permutation(all).Draw(t, "start")[:rapid.IntRange(0, 6).Draw(t, "n")]
		end := rapid.Permutation(all).Draw(t, "end")[:rapid.IntRange(1, 6).Draw(t, "m")]
		const slots = 512
		incremental := NewSizedMap(slots, start).With(end)
		direct := NewSizedMap(slots, end)
		for slot := range uint32(slots) {
			if incremental.OwnerName(slot) != direct.OwnerName(slot) {
				t.Fatalf("slot %d: owner is %q after incremental updates, %q when computed at once", slot, incremental.OwnerName(slot), direct.OwnerName(slot))
			}
		}
	})
}

// Guards against a join or leave that moves slots between members that stay.
func TestMembershipChangeMovesOnlySlotsOfTheMember(t *testing.T) {
	is := is.New(t)
	all := candidates(8)
	before := NewMap(all)
	after := before.With(all[:7])
	for slot := uint32(0); slot < Slots; slot++ {
		if before.OwnerName(slot) != all[7].Name {
			is.Equal(before.OwnerName(slot), after.OwnerName(slot))
		}
	}
}

// Guards against a small VM that gets as many flows as a large one.
func TestSlotsFollowCapacity(t *testing.T) {
	is := is.New(t)
	all := candidates(8)
	m := NewMap(all)
	var capacity float64
	for _, c := range all {
		capacity += float64(c.Capacity)
	}
	for _, c := range all {
		want := Slots * float64(c.Capacity) / capacity
		got := float64(m.Count(c.Name))
		is.True(math.Abs(got-want)/want < 0.1) // the share of slots is within 10% of the share of capacity
	}
}

// Guards against a request and its response whose slots differ, for instance
// because one has the caller's address in its IPv4-mapped form.
func TestSlotIsTheSameForBothDirections(t *testing.T) {
	is := is.New(t)
	caller := netip.MustParseAddrPort("198.51.100.7:40000")
	mapped := netip.AddrPortFrom(netip.AddrFrom16(caller.Addr().As16()), caller.Port())
	is.Equal(Slot(tables.TCP, caller), Slot(tables.TCP, mapped))
	is.True(Slot(tables.TCP, caller) != Slot(tables.UDP, caller)) // the protocol is part of the key
}

// Guards against a map without members that names an owner.
func TestEmptyMapHasNoOwner(t *testing.T) {
	is := is.New(t)
	m := NewMap(nil)
	is.Equal(m.Owner(0), NoOwner)
	is.Equal(m.OwnerName(0), member.Name(""))
	is.Equal(NewMap(candidates(1)).With(nil).Owner(5), NoOwner)
}

// BenchmarkJoin measures how long a daemon takes to add a member to its map.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{8, 65, 260} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := candidates(n)
			m := NewMap(all[:n-1])
			for b.Loop() {
				m.With(all)
			}
		})
	}
}

// BenchmarkLeave measures how long a daemon takes to remove a member from its
// map.
func BenchmarkLeave(b *testing.B) {
	for _, n := range []int{8, 65, 260} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := candidates(n)
			m := NewMap(all)
			for b.Loop() {
				m.With(all[:n-1])
			}
		})
	}
}
