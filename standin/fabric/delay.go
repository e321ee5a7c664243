package fabric

import (
	"container/heap"
	"sync"
	"time"
)

// delayQueue runs functions at their due times, in one goroutine, in the
// order of due time and then of scheduling.
type delayQueue struct {
	mu     sync.Mutex
	items  delayHeap
	next   uint64
	wake   chan struct{}
	closed chan struct{}
}

type delayed struct {
	due time.Time
	seq uint64
	run func()
}

func newDelayQueue() *delayQueue {
	return &delayQueue{wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (q *delayQueue) after(d time.Duration, run func()) {
	q.mu.Lock()
	q.next++
	heap.Push(&q.items, delayed{due: time.Now().Add(d), seq: q.next, run: run})
	first := q.items[0].seq == q.next
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

func (q *delayQueue) close() { close(q.closed) }

func (q *delayQueue) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait, run := q.pop()
		if run != nil {
			run()
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-q.wake:
		case <-q.closed:
			return
		}
	}
}

// pop returns the next due function, or how long to wait for it.
func (q *delayQueue) pop() (time.Duration, func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return time.Hour, nil
	}
	if wait := time.Until(q.items[0].due); wait > 0 {
		return wait, nil
	}
	return 0, heap.Pop(&q.items).(delayed).run
}

type delayHeap []delayed

func (h delayHeap) Len() int { return len(h) }
func (h delayHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].seq < h[j].seq
}
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)   { *h = append(*h, x.(delayed)) }
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = delayed{}
	*h = old[:len(old)-1]
	return last
}
