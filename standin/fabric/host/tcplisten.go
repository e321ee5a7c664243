package host

import (
	"sync"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric/inet"
)

// maxBacklog is the maximum number of connections that wait for Accept.
const maxBacklog = 2048

// TCPListener accepts connections on one port.
type TCPListener struct {
	host      *Host
	port      uint16
	ready     func() bool
	queue     chan *TCPConn
	closed    chan struct{}
	closeOnce sync.Once
}

// ListenTCP accepts connections on a port. While ready returns false, the host
// answers a SYN with a reset. A nil ready is always true.
func (h *Host) ListenTCP(port uint16, ready func() bool) (*TCPListener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listeners[port] != nil {
		return nil, errors.Errorf("host %q: TCP port %d in use", h.addr, port)
	}
	l := &TCPListener{
		host: h, port: port, ready: ready, queue: make(chan *TCPConn, maxBacklog), closed: make(chan struct{}),
	}
	h.listeners[port] = l
	return l, nil
}

// Accept waits for the next connection.
func (l *TCPListener) Accept() (*TCPConn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, errors.Wrapf(ErrClosed, "accept on port %d", l.port)
	}
}

// Close stops accepting connections. Accepted connections stay open.
func (l *TCPListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.host.mu.Lock()
		defer l.host.mu.Unlock()
		if l.host.listeners[l.port] == l {
			delete(l.host.listeners, l.port)
		}
	})
	return nil
}

func (l *TCPListener) accepting() bool {
	return (l.ready == nil || l.ready()) && len(l.queue) < maxBacklog
}

// acceptSYN creates a connection for a SYN and answers it.
func (l *TCPListener) acceptSYN(key tcpKey, syn *inet.Packet) {
	c := newTCPConn(l.host, key, synReceived, l.host.initialSequence())
	c.receiveNext = syn.Seq + 1
	c.onEstablished = l.enqueue
	l.host.mu.Lock()
	l.host.tcp[key] = c
	l.host.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendControl(inet.SYN|inet.ACK, c.sendUnacked)
	c.resetRetransmitTimer()
}

// enqueue queues an established connection for Accept. It drops the connection
// silently if the backlog is full. The caller holds c.mu.
func (l *TCPListener) enqueue(c *TCPConn) {
	select {
	case l.queue <- c:
	default:
		c.setClosed(ErrClosed)
		go c.unregister()
	}
}
