package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"
)

// listenHTTP3 serves HTTP/3 in workers until the returned function is called.
func (s *Server) listenHTTP3(workers *conc.WaitGroup) (func(), error) {
	conn, err := s.host.ListenUDP(s.options.Endpoint.Port())
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.ListenEarly(s.options.Identity.Server, s.quicConfig())
	if err != nil {
		_ = conn.Close() // the error of ListenEarly is returned
		return nil, errors.Wrap(err, "listen for QUIC")
	}
	server := &http3.Server{Handler: s.handler(), ConnContext: s.track}
	workers.Go(func() { _ = server.ServeListener(listener) })
	return func() {
		_ = conn.Close()
		_ = server.Close()
		_ = listener.Close()
		_ = transport.Close()
	}, nil
}

// quicConfig returns a configuration that refuses connections while the server is
// full.
func (s *Server) quicConfig() *quic.Config {
	c := QUICConfig()
	c.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) {
		if s.full() {
			return nil, errors.Errorf("server %q: all %d connections in use", s.options.Name, s.options.Connections)
		}
		return c, nil
	}
	return c
}

// track counts a connection as open until it is closed.
func (s *Server) track(ctx context.Context, c *quic.Conn) context.Context {
	s.connectionOpened()
	context.AfterFunc(c.Context(), s.connectionClosed)
	return ctx
}

// Path returns the path and query of the request's URL.
func (r Request) Path() string {
	return "/" + string(r.Operation) + "?id=" + r.ID + "&size=" + strconv.FormatInt(r.Size, 10)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /file", s.handle(File))
	mux.HandleFunc("GET /check", s.handle(Check))
	mux.HandleFunc("POST /confirm", s.handle(Confirm))
	return mux
}

func (s *Server) handle(operation Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.ParseInt(r.FormValue("size"), 10, 64)
		if err != nil {
			http.Error(w, "bad size", http.StatusBadRequest)
			return
		}
		request := Request{Operation: operation, ID: r.FormValue("id"), Size: size}
		started := false
		err = s.respond(r.Context(), request, func(length int64) io.Writer {
			started = true
			w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
			return w
		})
		if err != nil && !started {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}
