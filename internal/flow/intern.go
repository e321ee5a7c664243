package flow

import (
	"sync"
	"sync/atomic"
)

// interner assigns ids to values that many flows share. An id is valid while at
// least one flow holds it. Values are read without the lock, because an entry is
// written only while no flow holds its id.
type interner[K comparable] struct {
	values atomic.Pointer[[]K]

	mu   sync.Mutex
	ids  map[K]uint32
	refs []uint32
	free []uint32
}

func newInterner[K comparable]() *interner[K] {
	n := &interner[K]{ids: make(map[K]uint32)}
	n.values.Store(new([]K))
	return n
}

// value returns the value of an id that a flow holds.
func (n *interner[K]) value(id uint32) K { return (*n.values.Load())[id] }

// acquire returns the id of k and adds one reference to it.
func (n *interner[K]) acquire(k K) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.ids[k]
	if !ok {
		id = n.takeID()
		(*n.values.Load())[id] = k
		n.ids[k] = id
	}
	n.refs[id]++
	return id
}

// release drops one reference to an id.
func (n *interner[K]) release(id uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refs[id]--
	if n.refs[id] == 0 {
		delete(n.ids, n.value(id))
		n.free = append(n.free, id)
	}
}

// takeID removes an id from the free list, which it refills if empty. The caller
// must hold n.mu.
func (n *interner[K]) takeID() uint32 {
	if len(n.free) == 0 {
		n.grow()
	}
	last := len(n.free) - 1
	id := n.free[last]
	n.free = n.free[:last]
	return id
}

// grow doubles the number of ids. Readers of the old slice still find the value
// of every id that was in use.
func (n *interner[K]) grow() {
	old := *n.values.Load()
	size := max(16, 2*len(old))
	values := make([]K, size)
	copy(values, old)
	n.values.Store(&values)
	n.refs = append(n.refs, make([]uint32, size-len(old))...)
	for id := size - 1; id >= len(old); id-- {
		n.free = append(n.free, uint32(id))
	}
}
