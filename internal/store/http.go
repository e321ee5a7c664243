package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Paths and headers of the HTTP protocol.
const (
	ValuesPath     = "/v1/values/"
	VMsPath        = "/v1/vms"
	LeasesPath     = "/v1/leases/"
	RevisionHeader = "Store-Revision"
)

// WatchWait is how long the service is asked to hold a watch. A dead connection is
// noticed after WatchWait plus WatchSlack, so that a change is in force everywhere
// within 5 s even if the connections of all watchers are dead.
const (
	WatchWait  = 3 * time.Second
	WatchSlack = time.Second
)

// maxVMsSize is the maximum size of the list of VMs in bytes. 780 entries take about
// 200 KB.
const maxVMsSize = 4_000_000

// HTTP is a Store that makes one HTTP request for each call. It has no rate limit
// and does not retry; see Budget for both.
type HTTP struct {
	base   string
	client *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the service at a base URL such as
// http://192.0.2.9:8500.
func NewHTTP(base string) (*HTTP, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "store URL")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("store URL %q: want http://HOST:PORT", base)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &HTTP{base: strings.TrimSuffix(base, "/"), client: client}, nil
}

// refuseRedirect turns redirects into errors, since the protocol has none.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Value, error) {
	v, err := h.read(ctx, h.valueURL(key, nil))
	if err != nil {
		return Value{}, errors.Wrapf(err, "get %q", key)
	}
	return v, nil
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {WatchWait.String()}}
	v, err := h.read(ctx, h.valueURL(key, q))
	if err != nil {
		return Value{}, errors.Wrapf(err, "watch %q", key)
	}
	return v, nil
}

// Swap implements Store.
func (h *HTTP) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	q := url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	written, err := h.write(ctx, h.valueURL(key, q), data)
	if err != nil {
		return 0, errors.Wrapf(err, "swap %q", key)
	}
	return written, nil
}

// VMs implements Store.
func (h *HTTP) VMs(ctx context.Context) ([]VM, error) {
	_, body, err := h.do(ctx, http.MethodGet, h.base+VMsPath, nil, maxVMsSize)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	var vms []VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, errors.Wrap(&CallError{ErrUnavailable, err}, "list VMs")
	}
	return vms, nil
}

// valueURL returns the URL of a key, whose segments it escapes.
func (h *HTTP) valueURL(key string, query url.Values) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	u := h.base + ValuesPath + strings.Join(segments, "/")
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

// read gets a value and its revision.
func (h *HTTP) read(ctx context.Context, u string) (Value, error) {
	header, body, err := h.do(ctx, http.MethodGet, u, nil, MaxValueSize)
	if err != nil {
		return Value{}, err
	}
	revision, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, &CallError{ErrUnavailable, errors.Wrap(err, RevisionHeader)}
	}
	return Value{Data: body, Revision: revision}, nil
}

// write sends a compare-and-swap. If the request may have reached the service but
// the service did not answer it, the error wraps ErrUnknownOutcome.
func (h *HTTP) write(ctx context.Context, u string, data []byte) (uint64, error) {
	if len(data) > MaxValueSize {
		return 0, errors.Errorf("value has %d bytes, want at most %d", len(data), MaxValueSize)
	}
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport takes another connection only if it has sent nothing on
		// the previous one.
		GetConn:      func(string) { sent.Store(false) },
		WroteHeaders: func() { sent.Store(true) },
	})
	header, _, err := h.do(traced, http.MethodPut, u, data, MaxValueSize)
	var noAnswer *noAnswerError
	if errors.As(err, &noAnswer) && sent.Load() {
		return 0, &CallError{ErrUnknownOutcome, noAnswer.cause}
	}
	if err != nil {
		return 0, err
	}
	revision, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return 0, &CallError{ErrUnknownOutcome, errors.Wrap(err, RevisionHeader)}
	}
	return revision, nil
}

// noAnswerError means that the service did not tell whether it carried out the
// request.
type noAnswerError struct{ cause error }

func (e *noAnswerError) Error() string   { return e.cause.Error() }
func (e *noAnswerError) Unwrap() []error { return []error{ErrUnavailable, e.cause} }

// do makes a request and returns the response's header and body, which may have at
// most limit bytes.
func (h *HTTP) do(ctx context.Context, method, u string, data []byte, limit int64) (http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(data))
	if err != nil {
		return nil, nil, errors.Wrap(err, "make request")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, nil, &noAnswerError{err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, nil, &noAnswerError{errors.Wrap(err, "read response")}
	}
	if int64(len(body)) > limit {
		return nil, nil, errors.Errorf("response is larger than %d bytes", limit)
	}
	return response.Header, body, nil
}

// statusError returns the error that a response status stands for, nil for 200.
func statusError(status int) error {
	cause := errors.Errorf("status %d", status)
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusNotModified:
		return ErrNotModified
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusServiceUnavailable:
		return &CallError{ErrUnavailable, cause}
	case status >= http.StatusInternalServerError:
		// A gateway may fail after the service has carried out the request.
		return &noAnswerError{cause}
	}
	return errors.Wrap(cause, "unexpected response")
}
