// Package peer connects the daemons of one region. Daemons keep links to their
// ring neighbours, on which they send heartbeats and flood changes, and make calls
// to each other. All connections use drpc over mutual TLS 1.3.
package peer
