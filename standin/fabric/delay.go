package fabric

import (
	"container/heap"
	"sync"
	"time"
)

// delayQueue runs functions at their due times in one goroutine. Functions with
// the same due time run in the order in which they were scheduled.
type delayQueue struct {
	mu      sync.Mutex
	items   delayHeap
	lastSeq uint64
	wake    chan struct{}
	closed  chan struct{}
}

type delayedFunc struct {
	due time.Time
	seq uint64
	run func()
}

func newDelayQueue() *delayQueue {
	return &delayQueue{wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

// schedule runs the function after the delay d.
func (q *delayQueue) schedule(d time.Duration, run func()) {
	q.mu.Lock()
	q.lastSeq++
	heap.Push(&q.items, delayedFunc{due: time.Now().Add(d), seq: q.lastSeq, run: run})
	isNext := q.items[0].seq == q.lastSeq
	q.mu.Unlock()
	if isNext {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

func (q *delayQueue) close() { close(q.closed) }

// run executes scheduled functions until the queue is closed.
func (q *delayQueue) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait, run := q.popDue()
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

// popDue removes and returns the next function if it is due, and otherwise
// returns how long to wait for it.
func (q *delayQueue) popDue() (time.Duration, func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return time.Hour, nil
	}
	if wait := time.Until(q.items[0].due); wait > 0 {
		return wait, nil
	}
	return 0, heap.Pop(&q.items).(delayedFunc).run
}

// delayHeap implements heap.Interface.
type delayHeap []delayedFunc

func (h delayHeap) Len() int { return len(h) }
func (h delayHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].seq < h[j].seq
}
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)   { *h = append(*h, x.(delayedFunc)) }
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = delayedFunc{}
	*h = old[:len(old)-1]
	return last
}
