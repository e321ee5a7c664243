package backend

import "sync"

// Executions counts how often each request that must run at most once was
// executed, over all servers that share it.
type Executions struct {
	mu    sync.Mutex
	count map[string]int
}

// NewExecutions returns an empty count.
func NewExecutions() *Executions { return &Executions{count: make(map[string]int)} }

// Count returns how often a request was executed.
func (e *Executions) Count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count[id]
}

// Repeated returns the requests that were executed more than once.
func (e *Executions) Repeated() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, n := range e.count {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Add notes one execution.
func (e *Executions) Add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[id]++
}
