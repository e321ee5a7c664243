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
		switch err := c.checkReadDeadline(); {
		case len(c.receiveBuffer) > 0:
			n := copy(b, c.receiveBuffer)
			c.receiveBuffer = c.receiveBuffer[n:]
			return n, nil
		case c.finReceived:
			return 0, io.EOF
		case c.state == closed:
			return 0, errors.Wrapf(c.err, "read from %q", c.key.remote)
		case err != nil:
			return 0, errors.Wrapf(err, "read from %q", c.key.remote)
		}
		c.changed.Wait()
	}
}

// Write implements io.Writer. It never blocks: data that the window does not
// allow to send yet is buffered.
func (c *TCPConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed {
		return 0, errors.Wrapf(c.err, "write to %q", c.key.remote)
	}
	if c.finQueued {
		return 0, errors.Errorf("write to %q: closed for writing", c.key.remote)
	}
	c.sendBuffer = append(c.sendBuffer, b...)
	c.transmit()
	return len(b), nil
}

// CloseWrite closes the sending direction. It sends a FIN after all data.
func (c *TCPConn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != closed && !c.finQueued {
		c.finQueued = true
		c.transmit()
	}
}

// Close implements io.Closer. It sends a FIN after all data and does not wait for
// the connection to end.
func (c *TCPConn) Close() error {
	c.CloseWrite()
	return nil
}

// WaitClosed waits until both sides have sent a FIN and the peer has acknowledged
// everything. It returns an error if the connection ended otherwise.
func (c *TCPConn) WaitClosed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state != closed && (!c.finAcked || !c.finReceived) {
		if err := c.checkReadDeadline(); err != nil {
			return errors.Wrapf(err, "close connection with %q", c.key.remote)
		}
		c.changed.Wait()
	}
	if c.finAcked && c.finReceived {
		return nil
	}
	return errors.Wrapf(c.err, "close connection with %q", c.key.remote)
}

// Reset closes the connection and sends a RST.
func (c *TCPConn) Reset() {
	c.mu.Lock()
	if c.state != closed {
		c.sendControl(inet.RST|inet.ACK, c.sendNext)
	}
	c.mu.Unlock()
	c.abort(ErrClosed)
}

// abort closes the connection without sending a packet.
func (c *TCPConn) abort(err error) {
	c.mu.Lock()
	c.setClosed(err)
	c.mu.Unlock()
	c.unregister()
}

// setClosed marks the connection as closed because of err. The caller holds c.mu.
func (c *TCPConn) setClosed(err error) {
	if c.state == closed {
		return
	}
	c.state, c.err = closed, err
	if c.retransmitTimer != nil {
		c.retransmitTimer.Stop()
	}
	c.changed.Broadcast()
}

// unregister removes the connection from its host, so that later segments are
// answered with a reset.
func (c *TCPConn) unregister() {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if c.host.tcp[c.key] == c {
		delete(c.host.tcp, c.key)
	}
}
