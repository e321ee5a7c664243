package lab

import (
	"fmt"
	"strings"
)

// responseSize is the size of a response's body in bytes.
const responseSize = 600

// request returns a request with a body of a size; without a body it is a GET.
func request(id string, body int) []byte {
	method := "POST"
	if body == 0 {
		method = "GET"
	}
	return fmt.Appendf(nil, "%s /r HTTP/1.1\r\nHost: site\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, id, body, strings.Repeat("x", body))
}

// header returns the value of a header.
func header(b []byte, name string) string {
	_, rest, _ := strings.Cut(string(b), "\r\n"+name+": ")
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

func requestID(b []byte) string { return header(b, "Request-Id") }

func response(server, id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nResponse-Signature: %s %s\r\nContent-Length: %d\r\n\r\n%s", server, id, responseSize, strings.Repeat("y", responseSize))
}

// rejection is the answer to a request that has not run.
func rejection(server, id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nResponse-Signature: %s %s\r\nContent-Length: 0\r\n\r\n", server, id)
}

// summary returns a response's status, server and request.
func summary(b []byte) string {
	return strings.TrimPrefix(string(b[:min(12, len(b))]), "HTTP/1.1 ") + " " + header(b, "Response-Signature")
}
