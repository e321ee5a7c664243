package fabric

import (
	"fmt"
	"net/netip"
	"time"

	"knapweedshore.example/standin/fabric/inet"
)

// Promise names a promise of the design page.
type Promise string

// Promises that a violation can break.
const (
	P1 Promise = "P1"
	P2 Promise = "P2"
	P3 Promise = "P3"
	P4 Promise = "P4"
	P5 Promise = "P5"
	P6 Promise = "P6"
	P7 Promise = "P7"
)

// ViolationKind says what was seen.
type ViolationKind string

// Kinds of violations that the fabric sees.
const (
	// WrongService is a request packet at a server of another service.
	WrongService ViolationKind = "wrong_service"
	// DuplicateRequest is a packet that reached servers more often than the
	// caller sent it.
	DuplicateRequest ViolationKind = "duplicate_request"
	// SecondServer is payload of one flow at two servers.
	SecondServer ViolationKind = "second_server"
	// AlteredRequest is a packet at a server that no caller sent.
	AlteredRequest ViolationKind = "altered_request"
	// WrongSource is a response from an address that the caller did not use.
	WrongSource ViolationKind = "wrong_source"
	// WrongResponder is a response of a server of another service.
	WrongResponder ViolationKind = "wrong_responder"
	// DuplicateResponse is a packet that reached the caller more often than
	// the server sent it.
	DuplicateResponse ViolationKind = "duplicate_response"
	// AlteredResponse is a packet at a caller that no server sent.
	AlteredResponse ViolationKind = "altered_response"
	// RefusedAfterDelivery is a refusal of a flow whose payload had reached a
	// server.
	RefusedAfterDelivery ViolationKind = "refused_after_delivery"
)

var promiseOf = map[ViolationKind]Promise{
	WrongService: P2, WrongResponder: P2, DuplicateRequest: P5, SecondServer: P5, AlteredRequest: P3,
	WrongSource: P3, DuplicateResponse: P3, AlteredResponse: P3, RefusedAfterDelivery: P4,
}

// Violation is a broken promise.
type Violation struct {
	Promise Promise       `json:"promise"`
	Kind    ViolationKind `json:"kind"`
	Flow    string        `json:"flow"`
	Detail  string        `json:"detail"`
	At      time.Time     `json:"at"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: flow %s: %s", v.Promise, v.Kind, v.Flow, v.Detail)
}

// FlowKey identifies a flow as its caller sees it.
type FlowKey struct {
	Protocol inet.Protocol
	Caller   netip.AddrPort
	Service  netip.AddrPort
}

// String returns the protocol number, the caller and the service.
func (k FlowKey) String() string { return fmt.Sprintf("%d %s > %s", k.Protocol, k.Caller, k.Service) }
