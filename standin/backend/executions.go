package backend

import "sync"

// Executions counts how often each confirmation was executed, summed over all
// servers that share the value. It is safe for concurrent use.
type Executions struct {
	mu    sync.Mutex
	count map[string]int
}

// NewExecutions returns an Executions without any counts.
func NewExecutions() *Executions { return &Executions{count: make(map[string]int)} }

// Count returns how often the request with the ID was executed.
func (e *Executions) Count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count[id]
}

// Repeated returns the IDs of requests that were executed more than once.
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

// Add counts one execution of the request with the ID.
func (e *Executions) Add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[id]++
}
