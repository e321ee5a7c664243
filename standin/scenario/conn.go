package scenario

import (
	"io"
	"net"
	"sync"
	"time"
)

// chunk is what one write sent.
type chunk struct {
	data []byte
	due  time.Time
}

// half is one direction of a connection. It has one reader.
type half struct {
	latency time.Duration

	mu             sync.Mutex
	chunks         []chunk
	closed, silent bool
	wake           chan struct{}
}

func newHalf(latency time.Duration) *half {
	return &half{latency: latency, wake: make(chan struct{}, 1)}
}

func (h *half) change(f func()) {
	h.mu.Lock()
	f()
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *half) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// take copies what has arrived. If nothing has, it returns the time until the
// next chunk arrives, 0 if none is under way.
func (h *half) take(p []byte) (count int, wait time.Duration, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.chunks) == 0 {
		return 0, 0, h.closed
	}
	first := &h.chunks[0]
	if wait := time.Until(first.due); wait > 0 {
		return 0, wait, false
	}
	count = copy(p, first.data)
	if first.data = first.data[count:]; len(first.data) == 0 {
		h.chunks = h.chunks[1:]
	}
	return count, 0, false
}

// conn is one end of a connection. A paused host neither reads nor writes.
type conn struct {
	in, out       *half
	local, remote *host
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.local.paused.pass()
		count, wait, closed := c.in.take(p)
		switch {
		case count > 0:
			return count, nil
		case closed:
			return 0, io.EOF
		case wait > 0:
			time.Sleep(wait)
		default:
			<-c.in.wake
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	c.local.paused.pass()
	var err error
	c.out.change(func() {
		switch {
		case c.out.closed:
			err = net.ErrClosed
		case !c.out.silent:
			c.out.chunks = append(c.out.chunks, chunk{append([]byte(nil), p...), time.Now().Add(c.out.latency)})
		}
	})
	return len(p), err
}

// Close is seen by the peer unless the connection went silent.
func (c *conn) Close() error {
	c.in.change(func() { c.in.closed = true })
	c.out.change(func() { c.out.closed = c.out.closed || !c.out.silent })
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return net.TCPAddrFromAddrPort(c.local.address) }
func (c *conn) RemoteAddr() net.Addr             { return net.TCPAddrFromAddrPort(c.remote.address) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// gate holds up goroutines while it is shut. They wait on a channel, because a
// wait for a mutex would stop the time of a synctest bubble.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return
		}
		<-shut
	}
}
