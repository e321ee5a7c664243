package fabric

import (
	"fmt"
	"net/netip"
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

// Promise is the number of a promise that the design document makes.
type Promise string

// Promises of the design document, with what is checked for each.
const (
	P1 Promise = "P1" // only a crash breaks flows
	P2 Promise = "P2" // packets reach and come from servers of the right service
	P3 Promise = "P3" // nothing is altered or made up, and no response is repeated
	P4 Promise = "P4" // a refused request reached no server
	P5 Promise = "P5" // the payload of a flow reaches one server, and no request is repeated
	P6 Promise = "P6" // a draining server gets no new flows
	P7 Promise = "P7" // a balancer that leaves breaks no flow
)

// ViolationKind classifies a violation by what was observed.
type ViolationKind string

// Kinds of violations that are observed in the network.
const (
	// WrongService is a request packet that reached a server of another service.
	WrongService ViolationKind = "wrong_service"
	// DuplicateRequest is a request packet that was delivered more often than the
	// caller sent it.
	DuplicateRequest ViolationKind = "duplicate_request"
	// SecondServer is a flow whose payload reached more than one server.
	SecondServer ViolationKind = "second_server"
	// AlteredRequest is a packet that was delivered to a server although no caller
	// sent it.
	AlteredRequest ViolationKind = "altered_request"
	// WrongSource is a response from an address to which the caller sent nothing.
	WrongSource ViolationKind = "wrong_source"
	// WrongResponder is a response from a server of another service.
	WrongResponder ViolationKind = "wrong_responder"
	// DuplicateResponse is a response packet that was delivered more often than
	// the server sent it.
	DuplicateResponse ViolationKind = "duplicate_response"
	// AlteredResponse is a packet that was delivered to a caller although no server
	// sent it.
	AlteredResponse ViolationKind = "altered_response"
	// RefusedAfterDelivery is a flow that was refused after its payload had
	// reached a server.
	RefusedAfterDelivery ViolationKind = "refused_after_delivery"
)

var promiseOf = map[ViolationKind]Promise{
	WrongService: P2, WrongResponder: P2, DuplicateRequest: P5, SecondServer: P5, AlteredRequest: P3,
	WrongSource: P3, DuplicateResponse: P3, AlteredResponse: P3, RefusedAfterDelivery: P4,
}

// Violation is an observation that breaks a promise.
type Violation struct {
	Promise Promise       `json:"promise"`
	Kind    ViolationKind `json:"kind"`
	Flow    string        `json:"flow"`
	// Key identifies the flow of a violation that was observed in the network.
	Key    FlowKey   `json:"-"`
	Detail string    `json:"detail"`
	At     time.Time `json:"at"`
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: flow %s: %s", v.Promise, v.Kind, v.Flow, v.Detail)
}

// FlowKey identifies a flow by the addresses that its caller uses.
type FlowKey struct {
	Protocol inet.Protocol
	Caller   netip.AddrPort
	Service  netip.AddrPort
}

// String formats the key as protocol number, caller and service.
func (k FlowKey) String() string { return fmt.Sprintf("%d %s > %s", k.Protocol, k.Caller, k.Service) }
