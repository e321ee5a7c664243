package host

import (
	"io"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric/inet"
)

// Read implements io.Reader. It returns io.EOF after the peer's FIN.
func (c *TCPConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch err := c.readExpired(); {
		case len(c.in) > 0:
			n := copy(b, c.in)
			c.in = c.in[n:]
			return n, nil
		case c.finSeen:
			return 0, io.EOF
		case c.state == ended:
			return 0, errors.Wrapf(c.err, "read from %q", c.key.remote)
		case err != nil:
			return 0, errors.Wrapf(err, "read from %q", c.key.remote)
		}
		c.wake.Wait()
	}
}

// Write implements io.Writer. It never blocks; data waits for the window.
func (c *TCPConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == ended {
		return 0, errors.Wrapf(c.err, "write to %q", c.key.remote)
	}
	if c.finQueued {
		return 0, errors.Errorf("write to %q: closed for writing", c.key.remote)
	}
	c.out = append(c.out, b...)
	c.transmit()
	return len(b), nil
}

// CloseWrite sends a FIN after all data: a half-close.
func (c *TCPConn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != ended && !c.finQueued {
		c.finQueued = true
		c.transmit()
	}
}

// Close sends a FIN after all data. The host then finishes the connection on
// its own.
func (c *TCPConn) Close() error {
	c.CloseWrite()
	return nil
}

// WaitClosed waits until both sides have closed and everything is
// acknowledged, and returns the error that ended the connection otherwise.
func (c *TCPConn) WaitClosed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state != ended && (!c.finAcked || !c.finSeen) {
		if err := c.readExpired(); err != nil {
			return errors.Wrapf(err, "close connection with %q", c.key.remote)
		}
		c.wake.Wait()
	}
	if c.finAcked && c.finSeen {
		return nil
	}
	return errors.Wrapf(c.err, "close connection with %q", c.key.remote)
}

// Reset ends the connection with a RST.
func (c *TCPConn) Reset() {
	c.mu.Lock()
	if c.state != ended {
		c.sendControl(inet.RST|inet.ACK, c.next)
	}
	c.mu.Unlock()
	c.abandon(ErrClosed)
}

// abandon ends the connection without a packet.
func (c *TCPConn) abandon(err error) {
	c.mu.Lock()
	c.end(err)
	c.mu.Unlock()
	c.forget()
}

// end changes the state; the caller holds c.mu.
func (c *TCPConn) end(err error) {
	if c.state == ended {
		return
	}
	c.state, c.err = ended, err
	if c.retransmit != nil {
		c.retransmit.Stop()
	}
	c.wake.Broadcast()
}

func (c *TCPConn) forget() {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if c.host.tcp[c.key] == c {
		delete(c.host.tcp, c.key)
	}
}
