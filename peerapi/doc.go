// Package peerapi is the protocol between knapweedshore daemons, and between
// the operators' command and a daemon: protobuf messages over drpc. The code
// is generated from peer.proto by generate.sh and committed.
package peerapi
