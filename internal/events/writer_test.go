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

// blockedOutput blocks every Write until released is closed.
type blockedOutput struct {
	released chan struct{}
	mu       sync.Mutex
	written  bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.released
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(b)
}

func (o *blockedOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

// Guards against a blocked log output that stops the packet path or lets the
// buffer grow without limit, and against dropped lines that are not counted.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{released: make(chan struct{})}
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

// Guards against a process that cannot exit because its log output blocks.
func TestCloseGivesUpOnBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{released: make(chan struct{})}
		w := NewWriter(out)
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		start := time.Now()
		w.Close()
		is.Equal(time.Since(start), closeTimeout)
		close(out.released)
	})
}

// Guards against an event that exceeds its rate limit under load, and against
// suppressed lines that are not counted.
func TestLinesOfAnEventAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logs := observer.New(zapcore.DebugLevel)
		log := New(zap.New(core))
		for range 10 * flowLinesPerSecond {
			log.With(zap.String("vm", "a")).Log(FlowPlaced)
		}
		is.Equal(logs.Len(), flowLinesPerSecond)
		time.Sleep(time.Second)
		log.Log(FlowPlaced)
		last := logs.All()[flowLinesPerSecond]
		is.Equal(last.ContextMap()["suppressed"], int64(9*flowLinesPerSecond))
		for range 10 * flowLinesPerSecond {
			log.Log(DaemonStarted) // has no limit
		}
		is.Equal(logs.Len(), 11*flowLinesPerSecond+1)
	})
}
