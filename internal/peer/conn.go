package peer

import (
	"net"
	"sync"
	"time"

	"knapweedshore.example/internal/metrics"
)

// writeTimeout bounds one write to a connection. A peer that does not read for
// longer is treated as lost.
const writeTimeout = 2 * time.Second

// countedConn counts what passes below TLS.
type countedConn struct {
	net.Conn
	metrics *metrics.Registry // nil for operators
	forget  func(*countedConn)
	once    sync.Once
}

// newCountedConn calls forget when the connection is closed.
func newCountedConn(c net.Conn, m *metrics.Registry, forget func(*countedConn)) *countedConn {
	return &countedConn{Conn: c, metrics: m, forget: forget}
}

// Close closes the connection.
func (c *countedConn) Close() error {
	if c.forget != nil {
		c.once.Do(func() { c.forget(c) })
	}
	return c.Conn.Close()
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.metrics != nil {
		c.metrics.Count(metrics.ControlBytesReceived, int64(n))
	}
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.metrics != nil {
		c.metrics.Count(metrics.ControlBytesSent, int64(n))
	}
	return n, err
}
