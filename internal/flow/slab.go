package flow

// index is the position of a flow in its shard, starting at 1; 0 is none.
type index uint32

// chunkFlows is the number of flows allocated together. With the allocator's
// header they just fit its size class of 8 KiB; 128 flows would waste 5 bytes per
// flow. The last, partly used chunk of every shard costs about 0.5 bytes per flow.
const chunkFlows = 102

// slab stores the flows of a shard at fixed addresses. Chunks are reused and never
// freed; the maximum number of flows of the table bounds them.
type slab struct {
	chunks []*[chunkFlows]Flow
	next   index // first index never used; 0 until the first take, then at least 2
	free   index // head of the free list, linked through forwardNext
	used   int
}

func (s *slab) at(i index) *Flow {
	return &s.chunks[i/chunkFlows][i%chunkFlows]
}

// take returns an unused entry and its index.
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

// put returns an entry to the free list.
func (s *slab) put(i index, f *Flow) {
	s.used--
	*f = Flow{forwardNext: s.free}
	s.free = i
}
