package platform

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is executed again when copies of all packets of a
// flow arrive after its end. A daemon that was frozen sends such copies (soak seed
// 101).
func TestLateCopiesOfAFlowExecuteNothing(t *testing.T) {
	is := is.New(t)
	network, err := ClaimNetwork()
	is.NoErr(err)
	defer network.Release()
	b, err := NewBackend(network.Addr(1, 1, 8080), 7, "p", "z", 8172)
	is.NoErr(err)
	defer b.Close()
	p := Packet{Src: network.Addr(2, 1, 1025), Dst: netip.MustParseAddrPort("198.18.0.1:443")}
	encode := func(flags byte, seq, ack uint32, data string) []byte {
		q := p
		q.Flags, q.Seq, q.Ack, q.Data = flags, seq, ack, []byte(data)
		return q.Encode()
	}
	open := encode(SYN, 1000, 0, "")
	b.handle(7, open)
	seq := b.flows[[2]netip.AddrPort{p.Src, p.Dst}].seq
	request := encode(ACK, 1001, seq, "hello")
	b.handle(7, request)
	b.handle(7, request) // a copy on an open flow
	requests, _, _ := b.Counts()
	is.Equal(requests, 1)
	b.handle(7, encode(FIN|ACK, 1006, seq+6, ""))
	b.handle(7, open)
	b.handle(7, request)
	requests, _, _ = b.Counts()
	is.Equal(requests, 1)
}
