package packet

import (
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
)

// Guards against a packet that makes the parser read beyond its end, and against
// a rewritten packet that another balancer would parse differently.
func FuzzParse(f *testing.F) {
	for _, a := range addressSets {
		for _, p := range []tables.Protocol{tables.TCP, tables.UDP} {
			b := build(f, spec{protocol: p, src: a[0], dst: a[1], flags: FlagSYN, payload: []byte("x")})
			f.Add(b)
			router := router4
			if a[0].Addr().Is6() {
				router = router6
			}
			f.Add(buildICMPError(f, router, a[0].Addr(), b))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fixHeaderChecksum(data)
		b := data[:len(data):len(data)]
		var info Info
		if Parse(b, &info) != nil {
			return
		}
		is := is.New(t)
		checkReplies(is, b, &info)
		to := server4
		if info.v6 {
			to = server6
		}
		if info.ICMPError {
			RewriteICMPError(b, &info, to.Addr(), to)
			is.Equal([]any{info.Src, info.OuterDst}, []any{to, to.Addr()})
		} else {
			RewriteDestination(b, &info, to)
			is.Equal(info.Dst, to)
		}
		var reparsed Info
		is.NoErr(Parse(b, &reparsed))
		is.Equal(reparsed, info)
	})
}

// checkReplies checks that the packets that refuse b are valid packets themselves.
func checkReplies(is *is.I, b []byte, info *Info) {
	var reply Info
	if out := AppendReset(nil, b, info); len(out) > 0 {
		is.NoErr(Parse(out, &reply))
		is.Equal([]any{reply.Src, reply.Dst}, []any{info.Dst, info.Src})
	}
	if out := AppendPortUnreachable(nil, b, info); len(out) > 0 {
		is.NoErr(Parse(out, &reply))
		is.True(reply.ICMPError)
	}
}

func BenchmarkParseRewrite(b *testing.B) {
	for i, name := range []string{"IPv4", "IPv6"} {
		b.Run(name, func(b *testing.B) {
			a := addressSets[i]
			p := build(b, spec{protocol: tables.TCP, src: a[0], dst: a[1], flags: FlagACK, payload: make([]byte, 1000)})
			var info Info
			b.ReportAllocs()
			for b.Loop() {
				if err := Parse(p, &info); err != nil {
					b.Fatal(err)
				}
				RewriteDestination(p, &info, a[2])
			}
		})
	}
}

func BenchmarkParseRefusal(b *testing.B) {
	p := build(b, spec{protocol: tables.UDP, src: caller4, dst: service4})[:20]
	var info Info
	b.ReportAllocs()
	for b.Loop() {
		if Parse(p, &info) == nil {
			b.Fatal("a truncated packet was accepted")
		}
	}
}
