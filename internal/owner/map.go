package owner

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/member"
)

// NoOwner is the index that Owner returns for a map without members, and Index
// for an unknown member.
const NoOwner = -1

// Candidate is a member that can own slots.
type Candidate struct {
	Name member.Name
	// Capacity is the relative share of slots that the member gets; 0 counts
	// as 1.
	Capacity uint32
}

// Map assigns every slot to the candidate with the highest weighted rendezvous
// score. It is immutable.
type Map struct {
	members []Candidate
	hashes  []uint64            // of the member names, by index
	index   map[member.Name]int // into members
	owners  []int32             // index of the owner, by slot
	scores  []float64           // score of the owner, by slot
}

// NewMap computes the owners of all slots.
func NewMap(candidates []Candidate) *Map { return NewSizedMap(Slots, candidates) }

// NewSizedMap returns a map that has only the given number of slots, which must
// be a power of two. Values of Slot that are equal modulo this number share an
// owner. Tests with many membership changes use small maps.
func NewSizedMap(slots int, candidates []Candidate) *Map {
	empty := &Map{index: map[member.Name]int{}, owners: make([]int32, slots), scores: make([]float64, slots)}
	for slot := range empty.owners {
		empty.owners[slot] = NoOwner
	}
	return empty.With(candidates)
}

// With returns the map for another set of candidates. It recomputes only what
// depends on candidates that joined, left or changed their capacity; a full
// computation for 260 members takes a hundred times as long.
func (m *Map) With(candidates []Candidate) *Map {
	next := &Map{
		members: append([]Candidate(nil), candidates...),
		hashes:  make([]uint64, len(candidates)),
		index:   make(map[member.Name]int, len(candidates)),
		owners:  make([]int32, len(m.owners)),
		scores:  append([]float64(nil), m.scores...),
	}
	for i, c := range next.members {
		next.hashes[i] = xxhash.Sum64String(string(c.Name))
		next.index[c.Name] = i
	}
	unowned := m.copyOwners(next)
	for i, c := range next.members {
		if m.contains(c) {
			continue
		}
		next.addCandidate(i)
	}
	for _, slot := range unowned {
		next.assign(slot)
	}
	return next
}

// contains reports whether c is a member of the map with the same capacity.
func (m *Map) contains(c Candidate) bool {
	i, ok := m.index[c.Name]
	return ok && m.members[i].Capacity == c.Capacity
}

// copyOwners copies the owners that remain to next and returns the slots whose
// owner is gone or has another capacity.
func (m *Map) copyOwners(next *Map) []uint32 {
	newIndex := make([]int32, len(m.members))
	for i, c := range m.members {
		newIndex[i] = NoOwner
		if j, ok := next.index[c.Name]; ok && next.members[j].Capacity == c.Capacity {
			newIndex[i] = int32(j)
		}
	}
	var unowned []uint32
	for slot, old := range m.owners {
		if old == NoOwner || newIndex[old] == NoOwner {
			next.owners[slot] = NoOwner
			next.scores[slot] = 0
			unowned = append(unowned, uint32(slot))
			continue
		}
		next.owners[slot] = newIndex[old]
	}
	return unowned
}

// addCandidate assigns to candidate i every slot for which it scores higher
// than the current owner.
func (m *Map) addCandidate(i int) {
	for slot := range m.owners {
		m.assignIfHigher(uint32(slot), i)
	}
}

// assign gives the slot to the candidate that scores highest.
func (m *Map) assign(slot uint32) {
	for i := range m.members {
		m.assignIfHigher(slot, i)
	}
}

// assignIfHigher gives the slot to candidate i if it scores higher than the
// current owner. The smaller name wins a tie.
func (m *Map) assignIfHigher(slot uint32, i int) {
	score := m.score(slot, i)
	current := m.owners[slot]
	if current == NoOwner || score > m.scores[slot] || (score == m.scores[slot] && m.members[i].Name < m.members[current].Name) {
		m.owners[slot] = int32(i)
		m.scores[slot] = score
	}
}

// score returns the weighted rendezvous score -w/ln(u) of candidate i, with u
// uniform in (0, 1).
func (m *Map) score(slot uint32, i int) float64 {
	const mantissa = 1 << 53
	h := mix(m.hashes[i] ^ mix(uint64(slot)+1))
	u := (float64(h>>11) + 0.5) / mantissa
	return -float64(max(m.members[i].Capacity, 1)) / math.Log(u)
}

// mix applies the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Owner returns the index of the slot's owner, or NoOwner.
func (m *Map) Owner(slot uint32) int { return int(m.owners[m.position(slot)]) }

// position returns the index of the slot in owners and scores. A map from
// NewSizedMap may have fewer than Slots entries.
func (m *Map) position(slot uint32) int { return int(slot) & (len(m.owners) - 1) }

// OwnerName returns the name of the slot's owner, or "" without members.
func (m *Map) OwnerName(slot uint32) member.Name {
	i := m.owners[m.position(slot)]
	if i == NoOwner {
		return ""
	}
	return m.members[i].Name
}

// Members returns the candidates in the order of their indexes.
func (m *Map) Members() []Candidate { return m.members }

// Index returns the index of a member, or NoOwner.
func (m *Map) Index(name member.Name) int {
	if i, ok := m.index[name]; ok {
		return i
	}
	return NoOwner
}

// Count returns how many slots a member owns.
func (m *Map) Count(name member.Name) int {
	i, ok := m.index[name]
	if !ok {
		return 0
	}
	n := 0
	for _, o := range m.owners {
		if o == int32(i) {
			n++
		}
	}
	return n
}
