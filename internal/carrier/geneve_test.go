package carrier

import (
	"encoding/binary"
	"errors"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var inner6 = []byte{0x60, 0, 0, 0, 5, 6, 7, 8}

func serialize(t testing.TB, g *layers.Geneve, inner []byte) []byte {
	b := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, g, gopacket.Payload(inner))
	is.New(t).NoErr(err)
	return b.Bytes()
}

func hopOption(data ...byte) *layers.GeneveOption {
	return &layers.GeneveOption{Class: hopClass, Type: hopType, Data: data}
}

// encodeHop returns the hop option, encoded independently of AppendHeader.
func encodeHop(h Hop) *layers.GeneveOption {
	var confirmed byte
	if h.Confirmed {
		confirmed = 1
	}
	return hopOption(byte(h.Kind), h.Count, confirmed, 0,
		byte(h.Server>>24), byte(h.Server>>16), byte(h.Server>>8), byte(h.Server))
}

func drawHop(r *rapid.T) Hop {
	hop := Hop{Kind: HopKind(rapid.IntRange(int(HopNone), int(HopKnown)).Draw(r, "kind"))}
	if hop.Kind != HopNone {
		hop.Count = rapid.Byte().Draw(r, "count")
		hop.Confirmed = rapid.Bool().Draw(r, "confirmed")
		hop.Server = rapid.Uint32().Draw(r, "server")
	}
	return hop
}

// Guards against headers that another implementation decodes differently.
func TestHeaderIsReadByGopacket(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		inner := rapid.SampledFrom([][]byte{inner4, inner6}).Draw(r, "inner")
		hop := drawHop(r)
		var g layers.Geneve
		b := append(AppendHeader(nil, inner, hop), inner...)
		is.NoErr(g.DecodeFromBytes(b, gopacket.NilDecodeFeedback))
		is.Equal(g.Payload, inner)
		is.Equal([]any{g.Version, g.VNI, g.OAMPacket, g.CriticalOption}, []any{uint8(0), uint32(0), false, false})
		is.Equal(uint16(g.Protocol), protocolOf(inner))
		if hop.Kind == HopNone {
			is.Equal(len(g.Options), 0)
			return
		}
		want := encodeHop(hop)
		want.Length = hopOptionLen
		is.Equal(g.Options, []*layers.GeneveOption{want})
	})
}

// Guards against refusing headers of another implementation, and against taking
// another option for the hop option.
func TestHeaderOfGopacketIsRead(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		hop := drawHop(r)
		var options []*layers.GeneveOption
		for range rapid.IntRange(0, 3).Draw(r, "options before") {
			options = append(options, drawOption(r))
		}
		if hop.Kind != HopNone {
			options = append(options, encodeHop(hop))
		}
		options = append(options, drawOption(r))
		b := serialize(t, &layers.Geneve{Protocol: layers.EthernetTypeIPv6, Options: options}, inner6)
		inner, got, err := Decode(b[:len(b):len(b)])
		is.NoErr(err)
		is.Equal(inner, inner6)
		is.Equal(got, hop)
	})
}

// drawOption returns a non-critical option that differs from the hop option in
// class or type.
func drawOption(r *rapid.T) *layers.GeneveOption {
	return &layers.GeneveOption{
		Class: hopClass,
		Type:  uint8(rapid.IntRange(hopType+1, 0x7f).Draw(r, "type")),
		Data:  make([]byte, 4*rapid.IntRange(0, 10).Draw(r, "words")),
	}
}

// Guards against accepting a damaged or unsupported header, or counting it under
// another reason.
func TestDecodeRefuses(t *testing.T) {
	type change = func(b []byte) []byte
	set := func(at int, v byte) change { return func(b []byte) []byte { b[at] = v; return b } }
	cut := func(n int) change { return func(b []byte) []byte { return b[:n] } }
	tests := []struct {
		name   string
		change change
		want   *RefusalError
	}{
		{"empty", cut(0), errShort},
		{"fixed header cut", cut(7), errShort},
		{"options cut", cut(geneveHeaderLen + hopOptionLen - 1), errShort},
		{"no inner packet", cut(geneveHeaderLen + hopOptionLen), errNoInner},
		{"version", set(0, 0x42), errVersion},
		{"control packet", set(1, flagControl), errControl},
		{"virtual network", set(6, 1), errVNI},
		{"Ethernet", func(b []byte) []byte { b[2], b[3] = 0x65, 0x58; return b }, errProtocol},
		{"IPv4 stated, IPv6 carried", set(geneveHeaderLen+hopOptionLen, 0x60), errInner},
		{"not IP", set(geneveHeaderLen+hopOptionLen, 0x10), errInner},
		{"option longer than options", set(11, 3), errOption},
		{"hop option too short", set(11, 0), errHopOption},
		{"hop kind 0", set(12, 0), errHopOption},
		{"hop kind 5", set(12, 5), errHopOption},
		{"unknown critical option", set(10, optionCritical|hopType), errCritical},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := tt.change(append(AppendHeader(nil, inner4, Hop{Kind: HopOwner, Count: 1}), inner4...))
			requireRefused(t, b, tt.want)
		})
	}
	twice := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, Options: []*layers.GeneveOption{hopOption(1, 1, 0, 0, 0, 0, 0, 0), hopOption(1, 1, 0, 0, 0, 0, 0, 0)}}
	requireRefused(t, serialize(t, twice, inner4), errHopOption)
}

func requireRefused(t *testing.T, b []byte, want *RefusalError) {
	is := is.New(t)
	_, _, err := Decode(b[:len(b):len(b)])
	var got *RefusalError
	is.True(errors.As(err, &got))
	is.Equal(got.Error(), want.Error())
}

// Guards against a datagram that makes the decoder read beyond its end, and
// against an accepted header that gopacket decodes differently.
func FuzzDecode(f *testing.F) {
	f.Add(append(AppendHeader(nil, inner4, Hop{}), inner4...))
	f.Add(append(AppendHeader(nil, inner6, Hop{Kind: HopPredecessor, Count: 2}), inner6...))
	f.Add(serialize(f, &layers.Geneve{Protocol: layers.EthernetTypeIPv4, CriticalOption: true, Options: []*layers.GeneveOption{
		{Class: 1, Type: 2, Data: make([]byte, 8)}, hopOption(4, 3, 1, 0, 0, 0, 2, 1), {Class: 1, Type: 0x80},
	}}, inner4))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := data[:len(data):len(data)]
		inner, hop, err := Decode(b)
		// gopacket's decoder holds the header offset in 8 bits.
		const maxHeaderLen = 240
		if err != nil || len(b)-len(inner) > maxHeaderLen {
			return
		}
		is := is.New(t)
		var g layers.Geneve
		is.NoErr(g.DecodeFromBytes(b, gopacket.NilDecodeFeedback))
		is.Equal(g.Payload, inner)
		is.Equal(uint16(g.Protocol), protocolOf(inner))
		is.Equal(hop, hopOf(g.Options))
	})
}

func hopOf(options []*layers.GeneveOption) Hop {
	for _, o := range options {
		if o.Class == hopClass && o.Type == hopType {
			return Hop{
				Kind: HopKind(o.Data[0]), Count: o.Data[1], Confirmed: o.Data[2]&1 != 0,
				Server: binary.BigEndian.Uint32(o.Data[4:]),
			}
		}
	}
	return Hop{}
}
