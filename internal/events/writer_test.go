package events

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// stuckOutput blocks each Write until it is released.
type stuckOutput struct {
	released chan struct{}
	mu       sync.Mutex
	written  bytes.Buffer
}

func (o *stuckOutput) Write(b []byte) (int, error) {
	<-o.released
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(b)
}

func (o *stuckOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

// Guards against a log that blocks the packet path or fills the memory when its
// reader is stuck, and against lines that vanish without a trace.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuckOutput{released: make(chan struct{})}
		w := NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 1000 {
			n, err := w.Write(line)
			is.NoErr(err)
			is.Equal(n, len(line))
			time.Sleep(time.Millisecond)
		}
		is.True(w.Dropped() >= 1000-2*maxPending/1024)
		close(out.released)
		time.Sleep(2 * flushInterval)
		w.Close()
		is.True(strings.Contains(out.text(), LinesDropped.Message))
		is.Equal(int64(strings.Count(out.text(), "x\n"))+w.Dropped(), int64(1000))
	})
}

// Guards against a process that cannot end because its log is stuck.
func TestCloseGivesAStuckOutputUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuckOutput{released: make(chan struct{})}
		w := NewWriter(out)
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		began := time.Now()
		w.Close()
		is.Equal(time.Since(began), closeTimeout)
		close(out.released)
	})
}

// Guards against more lines under load than an event allows, and against lines
// that are left out unnoticed.
func TestLinesOfAnEventAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logs := observer.New(zapcore.DebugLevel)
		log := New(zap.New(core))
		for range 10 * flowLines {
			log.With(zap.String("vm", "a")).Log(FlowPlaced)
		}
		is.Equal(logs.Len(), flowLines)
		time.Sleep(time.Second)
		log.Log(FlowPlaced)
		last := logs.All()[flowLines]
		is.Equal(last.ContextMap()["suppressed"], int64(9*flowLines))
		for range 10 * flowLines {
			log.Log(DaemonStarted) // not bounded
		}
		is.Equal(logs.Len(), 11*flowLines+1)
	})
}
