package host

import (
	"sync"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric/inet"
)

// backlog is how many connections wait for Accept.
const backlog = 2048

// TCPListener accepts connections on one port.
type TCPListener struct {
	host   *Host
	port   uint16
	ready  func() bool
	queue  chan *TCPConn
	closed chan struct{}
	once   sync.Once
}

// ListenTCP accepts connections on a port. While ready returns false, a SYN
// is answered with a reset; nil means always ready.
func (h *Host) ListenTCP(port uint16, ready func() bool) (*TCPListener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listeners[port] != nil {
		return nil, errors.Errorf("host %q: TCP port %d in use", h.addr, port)
	}
	l := &TCPListener{
		host: h, port: port, ready: ready, queue: make(chan *TCPConn, backlog), closed: make(chan struct{}),
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

// Close stops accepting; open connections go on.
func (l *TCPListener) Close() error {
	l.once.Do(func() {
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
	return (l.ready == nil || l.ready()) && len(l.queue) < backlog
}

func (l *TCPListener) open(key tcpKey, syn *inet.Packet) {
	c := newTCPConn(l.host, key, synReceived, l.host.initialSequence())
	c.expected = syn.Seq + 1
	c.accept = l.deliver
	l.host.mu.Lock()
	l.host.tcp[key] = c
	l.host.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendControl(inet.SYN|inet.ACK, c.unacked)
	c.arm()
}

// deliver queues a connection; a full queue loses it, as an overfull backlog
// does.
func (l *TCPListener) deliver(c *TCPConn) {
	select {
	case l.queue <- c:
	default:
		c.end(ErrClosed)
		go c.forget()
	}
}
