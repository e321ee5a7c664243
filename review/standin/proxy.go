package standin

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Proxy forwards TCP connections to one address. It can silence the open connections for
// good, while new ones work.
type Proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	silent  *atomic.Bool // of the connections opened since the last Silence
	refused bool
	open    map[net.Conn]bool
}

// NewProxy listens on addr and forwards to another address.
func NewProxy(addr, to netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, to: to.String(), silent: new(atomic.Bool), open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Silence makes all open connections silent: they stay open, and nothing passes.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(true)
	p.silent = new(atomic.Bool)
}

// Refuse resets all open connections and, until it is called with false, new ones.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = on
	if on {
		for c := range p.open {
			reset(c)
		}
		p.open = map[net.Conn]bool{}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refused := p.refused
		p.mu.Unlock()
		if refused {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		silent, ok := p.add(in, out)
		if !ok {
			reset(in)
			_ = out.Close()
			continue
		}
		go copyUntilSilent(in, out, silent)
		go copyUntilSilent(out, in, silent)
	}
}

// add adds the two ends of a connection, unless connections are refused meanwhile.
func (p *Proxy) add(in, out net.Conn) (silent *atomic.Bool, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused {
		return nil, false
	}
	p.open[in], p.open[out] = true, true
	return p.silent, true
}

// copyUntilSilent copies one direction. On a silent connection it reads and drops, so that
// neither a byte nor the end of the connection passes.
func copyUntilSilent(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
