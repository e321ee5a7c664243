// Package backend is a stand-in for backend servers. Its servers speak HTTP/3 or
// a line protocol over TCP on virtual hosts, have a limited processing capacity,
// and can be drained, crashed and frozen.
package backend
