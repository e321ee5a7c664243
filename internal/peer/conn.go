package peer

import (
	"net"
	"sync"
	"time"

	"knapweedshore.example/internal/metrics"
)

// writeTimeout is the timeout of one write to a connection. A peer that does not
// read for longer is treated as lost.
const writeTimeout = 2 * time.Second

// countingConn counts the bytes of a connection, including the overhead of TLS.
type countingConn struct {
	net.Conn
	metrics *metrics.Registry // nil for operators
	onClose func(*countingConn)
	once    sync.Once
}

// newCountingConn returns a countingConn that calls onClose when it is first closed,
// unless onClose is nil.
func newCountingConn(c net.Conn, m *metrics.Registry, onClose func(*countingConn)) *countingConn {
	return &countingConn{Conn: c, metrics: m, onClose: onClose}
}

// Close closes the connection and calls onClose.
func (c *countingConn) Close() error {
	if c.onClose != nil {
		c.once.Do(func() { c.onClose(c) })
	}
	return c.Conn.Close()
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.metrics != nil {
		c.metrics.Count(metrics.ControlBytesReceived, int64(n))
	}
	return n, err
}

// Write writes to the connection within writeTimeout and counts the bytes sent.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.metrics != nil {
		c.metrics.Count(metrics.ControlBytesSent, int64(n))
	}
	return n, err
}
