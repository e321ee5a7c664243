package flow

import (
	"net/netip"
	"sync"
	"time"

	"knapweedshore.example/internal/tables"
)

// Shard holds the flows of some slots. All methods except Lock and Unlock
// require the lock. A *Flow is valid until the shard is unlocked or the flow
// is closed.
type Shard struct {
	sync.Mutex
	table   *Table
	forward []index // hash buckets by caller and service address
	reverse []index // hash buckets by caller and server endpoint
	slab    slab
	cursor  index // where the next Expire continues

	_ [32]byte // keeps the locks of neighbouring shards on separate cache lines
}

func (s *Shard) init(t *Table, buckets int) {
	s.table = t
	s.forward = make([]index, buckets)
	s.reverse = make([]index, buckets)
	s.cursor = 1
}

// Len returns the number of flows in the shard.
func (s *Shard) Len() int { return s.slab.used }

// Forward returns the flow from caller to the service address a, or nil.
func (s *Shard) Forward(caller netip.AddrPort, a tables.Address) *Flow {
	return s.findForward(s.forwardHead(caller, a), caller, a)
}

func (s *Shard) findForward(head *index, caller netip.AddrPort, a tables.Address) *Flow {
	c := caller.Addr().As16()
	for i := *head; i != 0; {
		f := s.slab.at(i)
		if f.callerPort == caller.Port() && f.caller == c && f.Address() == a {
			return f
		}
		i = f.forwardNext
	}
	return nil
}

// Reverse returns the flow from caller to the server at this endpoint, or nil. It
// is used to look up the server's responses.
func (s *Shard) Reverse(caller netip.AddrPort, p tables.Protocol, server netip.AddrPort) *Flow {
	return s.findReverse(s.reverseHead(caller, p, server), caller, p, server)
}

func (s *Shard) findReverse(head *index, caller netip.AddrPort, p tables.Protocol, server netip.AddrPort) *Flow {
	c := caller.Addr().As16()
	for i := *head; i != 0; {
		f := s.slab.at(i)
		if f.callerPort == caller.Port() && f.protocol == p && f.caller == c && f.Endpoint() == server {
			return f
		}
		i = f.reverseNext
	}
	return nil
}

func (s *Shard) forwardHead(caller netip.AddrPort, a tables.Address) *index {
	h := s.table.hash(caller, a.Protocol, a.AddrPort)
	return &s.forward[h&uint64(len(s.forward)-1)]
}

func (s *Shard) reverseHead(caller netip.AddrPort, p tables.Protocol, server netip.AddrPort) *index {
	h := s.table.hash(caller, p, server)
	return &s.reverse[h&uint64(len(s.reverse)-1)]
}

// OpenParams describes a flow to be opened.
type OpenParams struct {
	Slot     uint32
	Caller   netip.AddrPort
	Address  tables.Address
	Route    tables.RouteID
	Server   tables.ServerID
	Endpoint netip.AddrPort
	State    State
	// Flags are the initial flags of the flow, such as Adopted or Deviated.
	Flags Flags
	Now   time.Time
}

// Open adds a flow, whose slot must belong to this shard. The error is ErrExists,
// ErrReverseConflict or ErrFull.
func (s *Shard) Open(o OpenParams) (*Flow, error) {
	forward := s.forwardHead(o.Caller, o.Address)
	if s.findForward(forward, o.Caller, o.Address) != nil {
		return nil, ErrExists
	}
	reverse := s.reverseHead(o.Caller, o.Address.Protocol, o.Endpoint)
	if s.findReverse(reverse, o.Caller, o.Address.Protocol, o.Endpoint) != nil {
		return nil, ErrReverseConflict
	}
	if !s.table.reserve() {
		return nil, ErrFull
	}
	i, f := s.slab.take()
	s.fill(f, &o)
	f.forwardNext, *forward = *forward, i
	f.reverseNext, *reverse = *reverse, i
	return f, nil
}

func (s *Shard) fill(f *Flow, o *OpenParams) {
	ms := s.table.millis(o.Now)
	*f = Flow{
		table:      s.table,
		opened:     o.Now.Sub(s.table.epoch),
		caller:     o.Caller.Addr().As16(),
		callerPort: o.Caller.Port(),
		address:    s.table.addresses.acquire(o.Address),
		endpoint:   s.table.endpoints.acquire(o.Endpoint),
		route:      o.Route,
		server:     o.Server,
		lastCaller: ms,
		lastServer: ms,
		slot:       uint16(o.Slot),
		flags:      o.Flags,
		protocol:   o.Address.Protocol,
		state:      o.State,
	}
}

// Rebind moves a flow to another server. The state and the times of the flow do
// not change. If it returns an error, which is ErrReverseConflict, the flow stays
// on its server.
func (s *Shard) Rebind(f *Flow, id tables.ServerID, endpoint netip.AddrPort) error {
	if f.Endpoint() == endpoint {
		f.server = id
		return nil
	}
	caller := f.Caller()
	head := s.reverseHead(caller, f.protocol, endpoint)
	if s.findReverse(head, caller, f.protocol, endpoint) != nil {
		return ErrReverseConflict
	}
	i := s.unlinkReverse(f)
	s.table.endpoints.release(f.endpoint)
	f.endpoint = s.table.endpoints.acquire(endpoint)
	f.server = id
	f.reverseNext, *head = *head, i
	return nil
}

// Close removes a flow. The flow must not be used afterwards.
func (s *Shard) Close(f *Flow) {
	s.unlinkForward(f)
	i := s.unlinkReverse(f)
	s.table.addresses.release(f.address)
	s.table.endpoints.release(f.endpoint)
	s.slab.put(i, f)
	s.table.count.Add(-1)
}

func (s *Shard) unlinkForward(f *Flow) {
	link := s.forwardHead(f.Caller(), f.Address())
	for s.slab.at(*link) != f {
		link = &s.slab.at(*link).forwardNext
	}
	*link = f.forwardNext
}

// unlinkReverse removes the flow from its reverse chain and returns its index.
func (s *Shard) unlinkReverse(f *Flow) index {
	link := s.reverseHead(f.Caller(), f.protocol, f.Endpoint())
	for s.slab.at(*link) != f {
		link = &s.slab.at(*link).reverseNext
	}
	i := *link
	*link = f.reverseNext
	return i
}

// Each calls fn for every flow until fn returns false. fn may close the flow
// that it gets, but no other.
func (s *Shard) Each(fn func(f *Flow) bool) {
	s.EachFrom(0, int(s.slab.next), fn)
}

// EachFrom is like Each for up to limit entries from a position, where 0 is the
// start. It returns the position to continue at, or 0 at the end, so that the
// caller can release the lock between calls. Flows that are opened between calls
// may be skipped.
func (s *Shard) EachFrom(pos, limit int, fn func(f *Flow) bool) int {
	first := index(pos + 1)
	last := min(first+index(limit), s.slab.next)
	for i := first; i < last; i++ {
		if f := s.slab.at(i); f.state != 0 && !fn(f) {
			return 0
		}
	}
	if last >= s.slab.next {
		return 0
	}
	return int(last) - 1
}
