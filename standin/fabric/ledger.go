package fabric

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

const (
	// maxPacketsPerGeneration limits the memory for sent packets. The two newest
	// generations are kept, far more packets than are in transit at a time.
	maxPacketsPerGeneration = 1 << 20
	// maxViolations limits the violations that are listed; all are counted.
	maxViolations = 1000
)

// Ledger records the packets of each flow and checks the promises that can be
// observed in the network. A caller must not use an endpoint for a second flow
// to the same service.
type Ledger struct {
	mu                sync.Mutex
	services          map[transportAddr]string
	servers           map[netip.AddrPort]string
	flows             map[FlowKey]*flowRecord
	currentPackets    map[uint64]*sentPacket
	previousPackets   map[uint64]*sentPacket
	closedPortCallers map[transportAddr]bool
	violations        []Violation
	violationCount    int
}

type transportAddr struct {
	protocol inet.Protocol
	addr     netip.AddrPort
}

// sentPacket counts how often a packet was sent and delivered. Packets with the
// same identity share one record.
type sentPacket struct {
	flow      FlowKey // without Service for a response, which does not show it
	server    netip.AddrPort
	balancer  netip.AddrPort
	sent      int
	delivered int
}

// flowRecord is the Ledger's record of one flow.
type flowRecord struct {
	balancers      map[netip.AddrPort]bool
	servers        map[netip.AddrPort]*ServerPackets
	payloadServers int
	requests       int64
	responses      int64
	refused        bool
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
	// Balancers is the number of balancers that received packets of the flow
	// from the fabric.
	Balancers int
	// Servers has the servers that received packets of the flow, by endpoint.
	Servers map[netip.AddrPort]ServerPackets
	// Requests counts packets sent by the caller, Responses packets delivered to
	// it.
	Requests, Responses int64
	// Refused is set if a balancer refused the flow.
	Refused bool
}

func newLedger() *Ledger {
	return &Ledger{
		services: make(map[transportAddr]string), servers: make(map[netip.AddrPort]string),
		flows: make(map[FlowKey]*flowRecord), closedPortCallers: make(map[transportAddr]bool),
		currentPackets: make(map[uint64]*sentPacket), previousPackets: make(map[uint64]*sentPacket),
	}
}

// AddService registers the address of a service and the pool that serves it.
func (l *Ledger) AddService(protocol inet.Protocol, addr netip.AddrPort, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.services[transportAddr{protocol, addr}] = pool
}

// AddServer registers the endpoint of a backend server and its pool.
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

// Violations returns the first violations and the number of all violations.
func (l *Ledger) Violations() ([]Violation, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...), l.violationCount
}

func (l *Ledger) addViolation(kind ViolationKind, flow FlowKey, format string, args ...any) {
	l.violationCount++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{
			Promise: promiseOf[kind], Kind: kind, Flow: flow.String(), Key: flow,
			Detail: fmt.Sprintf(format, args...), At: time.Now(),
		})
	}
}

func (l *Ledger) getOrAddFlow(key FlowKey) *flowRecord {
	r, ok := l.flows[key]
	if !ok {
		r = &flowRecord{balancers: make(map[netip.AddrPort]bool), servers: make(map[netip.AddrPort]*ServerPackets)}
		l.flows[key] = r
	}
	return r
}
