package fabric

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

const (
	// identityGeneration bounds the memory for packet identities: the two
	// newest generations are kept, far more than are on their way at once.
	identityGeneration = 1 << 20
	// maxViolations bounds the list; the count goes on.
	maxViolations = 1000
)

// Ledger records what each flow experienced and checks the promises that the
// network can see. A caller endpoint must not be used again for a second flow
// to the same service.
type Ledger struct {
	mu         sync.Mutex
	services   map[address]string
	servers    map[netip.AddrPort]string
	flows      map[FlowKey]*flowRecord
	newer      map[uint64]*sentPacket
	older      map[uint64]*sentPacket
	closedPort map[address]bool
	violations []Violation
	count      int
}

type address struct {
	protocol inet.Protocol
	at       netip.AddrPort
}

// sentPacket is a packet that a host sent. Equal packets share one record.
type sentPacket struct {
	flow      FlowKey // for a response, Service is not known and not set
	server    netip.AddrPort
	via       netip.AddrPort
	sent      int
	delivered int
}

// flowRecord is what the fabric saw of one flow.
type flowRecord struct {
	balancers map[netip.AddrPort]bool
	servers   map[netip.AddrPort]*ServerPackets
	withData  int
	requests  int64
	responses int64
	refused   bool
}

// ServerPackets counts the packets of one flow that reached one server.
type ServerPackets struct {
	Packets int64 `json:"packets"`
	// Payload counts the packets with payload.
	Payload int64 `json:"payload"`
}

// Flow is the record of one flow.
type Flow struct {
	FlowKey
	// Balancers is how many balancers the fabric sent its packets to.
	Balancers int
	// Servers are the servers that its packets reached, by endpoint.
	Servers map[netip.AddrPort]ServerPackets
	// Requests and Responses count packets sent by the caller and delivered
	// to the caller.
	Requests, Responses int64
	// Refused tells that a balancer refused the flow.
	Refused bool
}

func newLedger() *Ledger {
	return &Ledger{
		services: make(map[address]string), servers: make(map[netip.AddrPort]string),
		flows: make(map[FlowKey]*flowRecord), closedPort: make(map[address]bool),
		newer: make(map[uint64]*sentPacket), older: make(map[uint64]*sentPacket),
	}
}

// AddService declares the address of a service and the pool that serves it.
func (l *Ledger) AddService(protocol inet.Protocol, at netip.AddrPort, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.services[address{protocol, at}] = pool
}

// AddServer declares the endpoint of a backend server and its pool.
func (l *Ledger) AddServer(endpoint netip.AddrPort, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[endpoint] = pool
}

// Flows returns a copy of all flow records.
func (l *Ledger) Flows() []Flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	flows := make([]Flow, 0, len(l.flows))
	for key, r := range l.flows {
		f := Flow{
			FlowKey: key, Balancers: len(r.balancers), Requests: r.requests, Responses: r.responses,
			Refused: r.refused, Servers: make(map[netip.AddrPort]ServerPackets, len(r.servers)),
		}
		for endpoint, s := range r.servers {
			f.Servers[endpoint] = *s
		}
		flows = append(flows, f)
	}
	return flows
}

// Violations returns the first violations and how many there were.
func (l *Ledger) Violations() ([]Violation, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...), l.count
}

func (l *Ledger) violate(kind ViolationKind, flow FlowKey, format string, args ...any) {
	l.count++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{
			Promise: promiseOf[kind], Kind: kind, Flow: flow.String(),
			Detail: fmt.Sprintf(format, args...), At: time.Now(),
		})
	}
}

func (l *Ledger) flow(key FlowKey) *flowRecord {
	r, ok := l.flows[key]
	if !ok {
		r = &flowRecord{balancers: make(map[netip.AddrPort]bool), servers: make(map[netip.AddrPort]*ServerPackets)}
		l.flows[key] = r
	}
	return r
}
