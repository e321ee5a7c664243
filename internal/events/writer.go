package events

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a Writer.
const (
	// maxPending is how many bytes may be buffered for the output.
	maxPending = 256 << 10
	// flushInterval is the longest time a line is buffered while the output
	// does not block.
	flushInterval = 50 * time.Millisecond
	// closeTimeout is how long Close waits for an output that blocks.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers lines for an output that may block. It never blocks itself:
// lines that do not fit into the buffer are dropped and counted.
type Writer struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	spare        []byte
	dropped      int64 // since the last flush
	totalDropped int64

	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out. The caller must call Close, which
// writes the last lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers or drops a line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped++
		w.totalDropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped in total.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Close writes the buffered lines, but gives up after closeTimeout.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":%q,"event":%d,"lines":%d}`+"\n",
			LinesDropped.Message, LinesDropped.Number, dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere to report a failing log
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}
