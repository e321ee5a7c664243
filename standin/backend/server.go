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

// Default values of Options.
const (
	DefaultSlots       = 2
	DefaultConnections = 2000
)

// DrainGrace is how long after Drain new connections may still arrive.
const DrainGrace = 3 * time.Second

// Options configures a backend server.
type Options struct {
	Name     string
	Zone     string
	Endpoint netip.AddrPort
	// HTTP3 selects HTTP/3; otherwise the server speaks the line protocol over
	// TCP.
	HTTP3    bool
	Identity *Identity
	// Speed divides all costs; it defaults to 1.
	Speed float64
	// Slots is the number of requests processed at once, Connections the maximum
	// of open connections. They default to DefaultSlots and DefaultConnections.
	Slots, Connections int
	// WarmUp is how long the server needs to reach its full speed after a start.
	WarmUp time.Duration
	// Costs defaults to DefaultCosts.
	Costs      Costs
	Executions *Executions
}

// Server is a backend server.
type Server struct {
	options   Options
	host      *host.Host
	processor *processor

	open          atomic.Int64
	accepted      atomic.Int64
	requests      atomic.Int64
	shed          atomic.Int64
	newAfterDrain atomic.Int64
	drainedAt     atomic.Int64 // Unix time in ns, 0 before Drain

	mu      sync.Mutex
	stop    func()
	workers *conc.WaitGroup
}

// Stats are the counters of a server since its first start.
type Stats struct {
	// Busy is the time for which slots were occupied, summed over the slots.
	Busy time.Duration
	// Open is the number of open connections, Accepted that of all connections
	// so far.
	Open, Accepted int64
	// Requests counts all requests, Shed those refused because of load.
	Requests, Shed int64
	// NewAfterDrain counts connections opened more than DrainGrace after Drain.
	NewAfterDrain int64
}

// Start attaches a host to the network and starts the server on it.
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
	s := &Server{options: o, host: h, processor: newProcessor(o.Speed, o.Slots, o.WarmUp)}
	if err := s.Restart(); err != nil {
		h.Close()
		return nil, err
	}
	return s, nil
}

// Restart starts the server again after Crash, and with it the warm-up.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		return errors.Errorf("restart server %q: already running", s.options.Name)
	}
	s.workers = &conc.WaitGroup{}
	listen := s.listenTCP
	if s.options.HTTP3 {
		listen = s.listenHTTP3
	}
	stop, err := listen(s.workers)
	if err != nil {
		return errors.Wrapf(err, "start server %q", s.options.Name)
	}
	s.stop = stop
	s.processor.start()
	return nil
}

// Drain records that the server is draining, for Stats.NewAfterDrain. The server
// goes on serving, because it is the balancers that stop sending new flows.
func (s *Server) Drain() { s.drainedAt.CompareAndSwap(0, time.Now().UnixNano()) }

// SetFrozen sets whether the server's host neither sends nor receives packets.
func (s *Server) SetFrozen(frozen bool) { s.host.SetSilent(frozen) }

// Crash stops the server process. Its host then answers with TCP resets and ICMP
// port-unreachable messages.
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

// Close stops the server and detaches its host from the network.
func (s *Server) Close() {
	s.host.SetSilent(true)
	s.Crash()
	s.host.Close()
}

// Options returns the options of the server with defaults filled in.
func (s *Server) Options() Options { return s.options }

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	return Stats{
		Busy: time.Duration(s.processor.busy.Load()), Open: s.open.Load(), Accepted: s.accepted.Load(),
		Requests: s.requests.Load(), Shed: s.shed.Load(), NewAfterDrain: s.newAfterDrain.Load(),
	}
}

func (s *Server) full() bool { return s.open.Load() >= int64(s.options.Connections) }

func (s *Server) connectionOpened() {
	s.open.Add(1)
	s.accepted.Add(1)
	if at := s.drainedAt.Load(); at != 0 && time.Since(time.Unix(0, at)) > DrainGrace {
		s.newAfterDrain.Add(1)
	}
}

func (s *Server) connectionClosed() { s.open.Add(-1) }
