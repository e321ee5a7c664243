package scenario

import (
	"io"
	"net"
	"sync"
	"time"
)

// chunk is the data of one write and the time at which it reaches the reader.
type chunk struct {
	data    []byte
	arrives time.Time
}

// stream is one direction of a connection. It has a single reader. A silent
// stream drops everything written to it.
type stream struct {
	latency time.Duration

	mu             sync.Mutex
	chunks         []chunk
	closed, silent bool
	wake           chan struct{}
}

func newStream(latency time.Duration) *stream {
	return &stream{latency: latency, wake: make(chan struct{}, 1)}
}

// update changes the stream's fields and wakes the reader.
func (s *stream) update(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// receive copies data that has arrived. If there is none, it returns the time
// until the next chunk arrives, or 0 if no chunk is in flight.
func (s *stream) receive(p []byte) (count int, wait time.Duration, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) == 0 {
		return 0, 0, s.closed
	}
	first := &s.chunks[0]
	if wait := time.Until(first.arrives); wait > 0 {
		return 0, wait, false
	}
	count = copy(p, first.data)
	if first.data = first.data[count:]; len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return count, 0, false
}

// conn is one end of a connection. Reads and writes block while the local host
// is frozen.
type conn struct {
	in, out       *stream
	local, remote *host
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.local.gate.wait()
		count, wait, closed := c.in.receive(p)
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
	c.local.gate.wait()
	var err error
	c.out.update(func() {
		switch {
		case c.out.closed:
			err = net.ErrClosed
		case !c.out.silent:
			c.out.chunks = append(c.out.chunks, chunk{append([]byte(nil), p...), time.Now().Add(c.out.latency)})
		}
	})
	return len(p), err
}

// Close closes both directions. The peer is not told if the outgoing stream is
// silent.
func (c *conn) Close() error {
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() { c.out.closed = c.out.closed || !c.out.silent })
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return net.TCPAddrFromAddrPort(c.local.address) }
func (c *conn) RemoteAddr() net.Addr             { return net.TCPAddrFromAddrPort(c.remote.address) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// gate blocks goroutines while it is closed. They wait on a channel, because
// the virtual time of a synctest bubble stops while a goroutine waits for a
// mutex.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed by open; nil while the gate is open
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}
