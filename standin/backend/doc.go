// Package backend is a stand-in for backend servers: HTTP/3 and scripted TCP
// servers on virtual hosts, with few slots, a speed, and switches for drain,
// crash and freeze.
package backend
