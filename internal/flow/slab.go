package flow

// index numbers a flow within its shard, from 1; 0 is none.
type index uint32

// chunkFlows is how many flows are allocated at once. With the allocator's
// header they just fit its size class of 8 KiB; 128 flows would waste 5 bytes
// a flow. The last, partly used chunk of every shard costs about 0.5 bytes.
const chunkFlows = 102

// slab holds the flows of a shard at fixed places. Chunks stay allocated for
// reuse; the table's maximum bounds them.
type slab struct {
	chunks []*[chunkFlows]Flow
	next   index // first number never used, at least 1 once a flow was taken
	free   index // chain of unused entries through forwardNext
	used   int
}

func (s *slab) at(i index) *Flow {
	return &s.chunks[i/chunkFlows][i%chunkFlows]
}

// take returns an unused entry and its number.
func (s *slab) take() (index, *Flow) {
	s.used++
	if i := s.free; i != 0 {
		f := s.at(i)
		s.free = f.forwardNext
		return i, f
	}
	if s.next == 0 {
		s.next = 1
	}
	i := s.next
	s.next++
	if int(i/chunkFlows) == len(s.chunks) {
		s.chunks = append(s.chunks, new([chunkFlows]Flow))
	}
	return i, s.at(i)
}

// put makes an entry unused.
func (s *slab) put(i index, f *Flow) {
	s.used--
	*f = Flow{forwardNext: s.free}
	s.free = i
}
