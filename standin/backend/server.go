package backend

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/standin/fabric/host"
)

// Values of a server unless its options say otherwise.
const (
	DefaultSlots       = 2
	DefaultConnections = 2000
)

// DrainGrace is how long after a drain new work may still arrive.
const DrainGrace = 3 * time.Second

// Options describe a backend server.
type Options struct {
	Name     string
	Zone     string
	Endpoint netip.AddrPort
	// HTTP3 servers speak HTTP/3; the others speak the line protocol on TCP.
	HTTP3    bool
	Identity *Identity
	// Speed divides all costs; 1 is normal.
	Speed float64
	// Slots and Connections have defaults.
	Slots, Connections int
	// WarmUp is how long a started server needs to reach its speed.
	WarmUp     time.Duration
	Costs      Costs
	Executions *Executions
}

// Server is one backend server.
type Server struct {
	o    Options
	host *host.Host
	work *work

	open          atomic.Int64
	accepted      atomic.Int64
	requests      atomic.Int64
	shed          atomic.Int64
	newAfterDrain atomic.Int64
	drained       atomic.Int64 // time in ns, 0 while the server takes new work

	mu      sync.Mutex
	stop    func()
	workers *conc.WaitGroup
}

// Stats tell what a server did.
type Stats struct {
	// Busy is the time that its slots were occupied.
	Busy time.Duration
	// Open is how many connections are open, Accepted how many were opened.
	Open, Accepted int64
	Requests, Shed int64
	// NewAfterDrain counts connections that were opened more than DrainGrace
	// after Drain.
	NewAfterDrain int64
}

// Start attaches a host to the network and runs the server on it.
func Start(network host.Network, o Options) (*Server, error) {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Costs == (Costs{}) {
		o.Costs = DefaultCosts
	}
	h, err := host.New(network, o.Endpoint.Addr(), o.Zone)
	if err != nil {
		return nil, errors.Wrapf(err, "start server %q", o.Name)
	}
	s := &Server{o: o, host: h, work: newWork(o.Speed, o.Slots, o.WarmUp)}
	if err := s.Restart(); err != nil {
		h.Close()
		return nil, err
	}
	return s, nil
}

// Restart runs the server again after Crash; it is then cold.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		return errors.Errorf("restart server %q: it is running", s.o.Name)
	}
	s.workers = &conc.WaitGroup{}
	listen := s.listenTCP
	if s.o.HTTP3 {
		listen = s.listenHTTP3
	}
	stop, err := listen(s.workers)
	if err != nil {
		return errors.Wrapf(err, "start server %q", s.o.Name)
	}
	s.stop = stop
	s.work.start()
	return nil
}

// Drain notes the time from which the server expects no new work. The server
// goes on serving: a drain is carried out by the balancers.
func (s *Server) Drain() { s.drained.CompareAndSwap(0, time.Now().UnixNano()) }

// SetFrozen makes the server's machine silent, or ends this.
func (s *Server) SetFrozen(frozen bool) { s.host.SetSilent(frozen) }

// Crash ends the server process at once. Its machine then answers with resets
// and port-unreachable messages.
func (s *Server) Crash() {
	s.host.CloseSockets()
	s.mu.Lock()
	stop, workers := s.stop, s.workers
	s.stop = nil
	s.mu.Unlock()
	if stop != nil {
		stop()
		workers.Wait()
	}
}

// Close ends the server and detaches its machine.
func (s *Server) Close() {
	s.host.SetSilent(true)
	s.Crash()
	s.host.Close()
}

// Options returns what the server was started with, with defaults filled in.
func (s *Server) Options() Options { return s.o }

// Stats returns what the server did so far.
func (s *Server) Stats() Stats {
	return Stats{
		Busy: time.Duration(s.work.busy.Load()), Open: s.open.Load(), Accepted: s.accepted.Load(),
		Requests: s.requests.Load(), Shed: s.shed.Load(), NewAfterDrain: s.newAfterDrain.Load(),
	}
}

func (s *Server) full() bool { return s.open.Load() >= int64(s.o.Connections) }

func (s *Server) connectionOpened() {
	s.open.Add(1)
	s.accepted.Add(1)
	if at := s.drained.Load(); at != 0 && time.Since(time.Unix(0, at)) > DrainGrace {
		s.newAfterDrain.Add(1)
	}
}

func (s *Server) connectionClosed() { s.open.Add(-1) }
