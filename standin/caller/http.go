package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/fabric/host"
)

// HTTP opens HTTP/3 flows from one host to one service.
type HTTP struct {
	// Pause is the time between a response and the next request of a flow.
	Pause   time.Duration
	Host    *host.Host
	Service netip.AddrPort
	// TLS is the client configuration of the servers' identity.
	TLS *tls.Config
}

// Run opens a flow, sends the requests one after another and checks each
// response. It stops at the first failure.
func (h *HTTP) Run(ctx context.Context, requests ...backend.Request) Result {
	r := Result{Opened: time.Now()}
	r.finish(ctx, h.run(ctx, &r, requests))
	r.Ended = time.Now()
	return r
}

func (h *HTTP) run(ctx context.Context, r *Result, requests []backend.Request) error {
	conn, err := h.Host.DialUDP()
	if err != nil {
		return err
	}
	r.Caller = conn.AddrPort()
	transport := &quic.Transport{Conn: conn}
	client := &http3.Transport{
		TLSClientConfig: h.TLS, QUICConfig: backend.QUICConfig(),
		Dial: func(ctx context.Context, _ string, c *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return transport.Dial(ctx, net.UDPAddrFromAddrPort(h.Service), c, q)
		},
	}
	defer func() {
		_ = client.Close()
		_ = transport.Close()
		_ = conn.Close()
	}()
	for i, request := range requests {
		if i > 0 {
			if err := pause(ctx, h.Pause); err != nil {
				return err
			}
		}
		r.Requests = append(r.Requests, request)
		started := time.Now()
		err := exchange(ctx, client, request)
		if err != nil && conn.Refused() {
			return refused(PortUnreachable, err)
		}
		if err != nil {
			return err
		}
		r.Latencies = append(r.Latencies, time.Since(started))
	}
	return nil
}

// exchange sends one request and checks its response. Confirmations use POST,
// which the HTTP client never retries on its own.
func exchange(ctx context.Context, client *http3.Transport, r backend.Request) error {
	method := http.MethodGet
	if r.Operation == backend.Confirm {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "https://"+backend.ServerName+r.Path(), nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return errors.Wrapf(err, "%s %q", r.Operation, r.ID)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return verify(r, response.Body, response.ContentLength)
	case http.StatusServiceUnavailable:
		return refused(LoadShed, errors.Errorf("%s %q: status %d", r.Operation, r.ID, response.StatusCode))
	}
	return broken(WrongAnswer, errors.Errorf("%s %q: status %d", r.Operation, r.ID, response.StatusCode))
}
