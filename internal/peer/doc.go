// Package peer connects the daemons of one region: links to ring neighbours
// with heartbeats and flooding, and calls from one daemon to another, all over
// drpc and mutual TLS 1.3.
package peer
