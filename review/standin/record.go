package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord appends to the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &Record{file: f, start: time.Now()}, err
}

// Add appends a line with the time in seconds since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
