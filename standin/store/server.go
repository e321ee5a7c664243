package store

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/store"
)

// Server serves a Platform over HTTP, in the protocol of internal/store.
type Server struct {
	memory   *Memory
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Listen serves the platform at a loopback address such as 127.0.0.1:0.
func (p *Platform) Listen(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for store calls")
	}
	s := &Server{memory: p.Memory(), listener: listener, done: make(chan struct{})}
	if ip := listener.Addr().(*net.TCPAddr).IP; !ip.IsLoopback() {
		_ = listener.Close()
		return nil, errors.Errorf("address %s is not a loopback address", address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.ValuesPath+"{key...}", s.get)
	mux.HandleFunc("PUT "+store.ValuesPath+"{key...}", s.put)
	mux.HandleFunc("GET "+store.VMsPath, s.vms)
	mux.HandleFunc("PUT "+store.LeasesPath+"{name}", s.lease)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() *net.TCPAddr { return s.listener.Addr().(*net.TCPAddr) }

// URL returns the base URL for store.NewHTTP.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	var v store.Value
	var err error
	if after := query.Get("after"); after == "" {
		v, err = s.memory.Get(r.Context(), key)
	} else {
		v, err = s.watch(r.Context(), key, after, query.Get("wait"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(store.RevisionHeader, strconv.FormatUint(v.Revision, 10))
	_, _ = w.Write(v.Data)
}

func (s *Server) watch(ctx context.Context, key, after, wait string) (store.Value, error) {
	revision, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return store.Value{}, errBadRequest
	}
	d, err := time.ParseDuration(wait)
	if err != nil || d < 0 {
		return store.Value{}, errBadRequest
	}
	return s.memory.watch(ctx, key, revision, d)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, errBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueSize))
	if err != nil {
		writeError(w, errBadRequest)
		return
	}
	written, err := s.memory.Swap(r.Context(), r.PathValue("key"), data, revision)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(store.RevisionHeader, strconv.FormatUint(written, 10))
}

func (s *Server) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := s.memory.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := json.Marshal(vms)
	if err != nil {
		writeError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) lease(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	ttl, err := time.ParseDuration(query.Get("ttl"))
	if err != nil || ttl <= 0 || strings.TrimSpace(query.Get("holder")) == "" {
		writeError(w, errBadRequest)
		return
	}
	if err := s.memory.p.AcquireLease(r.PathValue("name"), query.Get("holder"), ttl); err != nil {
		writeError(w, err)
	}
}

var errBadRequest = errors.New("bad request")

// writeError sends the status code of an error. It aborts the connection on any
// other error, such as a lost answer.
func writeError(w http.ResponseWriter, err error) {
	for _, known := range []struct {
		err    error
		status int
	}{
		{store.ErrNotFound, http.StatusNotFound},
		{store.ErrConflict, http.StatusConflict},
		{store.ErrNotModified, http.StatusNotModified},
		{store.ErrThrottled, http.StatusTooManyRequests},
		{store.ErrUnavailable, http.StatusServiceUnavailable},
		{errBadRequest, http.StatusBadRequest},
	} {
		if errors.Is(err, known.err) {
			w.WriteHeader(known.status)
			return
		}
	}
	panic(http.ErrAbortHandler)
}
