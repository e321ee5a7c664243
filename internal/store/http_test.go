package store_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/store"
	standin "knapweedshore.example/standin/store"
)

// startHTTP starts a stand-in platform with an HTTP server on loopback, and returns
// both and a client of it.
func startHTTP(t *testing.T, o standin.Options) (*standin.Platform, *standin.Server, *store.HTTP) {
	t.Helper()
	p := standin.New(o)
	server, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := store.NewHTTP(server.URL())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return p, server, client
}

// Guards against a response status that is mapped to the wrong error, in particular
// a write that is reported as failed although it may have taken effect.
func TestHTTPErrors(t *testing.T) {
	is := is.New(t)
	p, server, client := startHTTP(t, standin.Options{WatchWait: 10 * time.Millisecond})
	ctx := t.Context()
	const key = "knapweedshore/tables/head"

	_, err := client.Get(ctx, key)
	is.True(errors.Is(err, store.ErrNotFound))
	revision, err := client.Swap(ctx, key, []byte("a"), 0)
	is.NoErr(err)
	_, err = client.Swap(ctx, key, []byte("b"), revision+1)
	is.True(errors.Is(err, store.ErrConflict))
	v, err := client.Get(ctx, key)
	is.NoErr(err)
	is.Equal(v, store.Value{Data: []byte("a"), Revision: revision})
	v, err = client.Watch(ctx, key, revision-1)
	is.NoErr(err)
	is.Equal(v.Revision, revision)
	_, err = client.Watch(ctx, key, revision)
	is.True(errors.Is(err, store.ErrNotModified))

	p.LoseAnswers(1)
	_, err = client.Swap(ctx, key, []byte("b"), revision)
	is.True(errors.Is(err, store.ErrUnknownOutcome))
	v, err = client.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(v.Data), "b")

	p.SetDown(true)
	_, err = client.Swap(ctx, key, []byte("c"), v.Revision)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUnknownOutcome))
	p.SetDown(false)

	_, err = client.Swap(ctx, key, bytes.Repeat([]byte("x"), store.MaxValueSize+1), v.Revision)
	is.True(err != nil)
	p.SetThrottled(true)
	_, err = client.Swap(ctx, key, []byte("d"), v.Revision)
	is.True(errors.Is(err, store.ErrThrottled))

	is.NoErr(server.Close())
	client, err = store.NewHTTP(server.URL())
	is.NoErr(err)
	_, err = client.Swap(ctx, key, []byte("e"), v.Revision)
	is.True(errors.Is(err, store.ErrUnavailable)) // nothing was sent
	is.True(!errors.Is(err, store.ErrUnknownOutcome))
}

// Guards against fields of the VM list that are lost in the JSON encoding.
func TestHTTPVMs(t *testing.T) {
	is := is.New(t)
	p, _, client := startHTTP(t, standin.Options{})
	vm := store.VM{Name: "a", Region: "cartago", Zone: "cartago-sur", Control: netip.MustParseAddrPort("192.0.2.1:1"),
		Data: netip.MustParseAddrPort("192.0.2.1:2"), Capacity: 4, Leaving: true}
	p.AddVM(vm)
	vms, err := client.VMs(t.Context())
	is.NoErr(err)
	is.Equal(vms, []store.VM{vm})
}
