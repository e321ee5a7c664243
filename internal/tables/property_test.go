package tables

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

// desiredTables generates valid tables. Each address is used by only one name, so
// that reservations do not prevent a change.
func desiredTables(t *rapid.T, label string) Desired {
	var d Desired
	for i := range rapid.IntRange(1, 4).Draw(t, label+" pools") {
		p := Pool{Name: fmt.Sprintf("p%d", i)}
		for j := range 4 {
			if rapid.Bool().Draw(t, "present") {
				p.Servers = append(p.Servers, desiredServer(t, i, j))
			}
		}
		if i == 0 || rapid.Bool().Draw(t, "pool") {
			d.Pools = append(d.Pools, p)
		}
	}
	for i := range rapid.IntRange(0, 5).Draw(t, label+" routes") {
		port := uint16(rapid.IntRange(1, 2).Draw(t, "port"))
		protocol := rapid.SampledFrom([]Protocol{TCP, UDP}).Draw(t, "protocol")
		pool := rapid.SampledFrom(d.Pools).Draw(t, "pool").Name
		addr := netip.AddrFrom4([4]byte{192, 0, 2, byte(i)})
		d.Routes = append(d.Routes, Route{Name: fmt.Sprintf("r%d", i), Pool: pool,
			Address: Address{AddrPort: netip.AddrPortFrom(addr, port), Protocol: protocol}})
	}
	return d
}

// desiredServer generates server i of a pool with one of two endpoints.
func desiredServer(t *rapid.T, pool, i int) Server {
	variant := rapid.IntRange(0, 1).Draw(t, "variant")
	srv := server(fmt.Sprintf("s%d", i), fmt.Sprintf("10.%d.%d.%d:80", pool, i, variant))
	srv.Weight = uint32(rapid.IntRange(1, 2).Draw(t, "weight")) * DefaultWeight
	srv.State = rapid.SampledFrom([]ServerState{Active, Draining}).Draw(t, "state")
	return srv
}

// Guards against a diff that misses a change, and against an encoding that loses
// data. Applying the diff must yield the desired tables, also after each result is
// encoded and decoded, after a round trip through the INI form, and when all
// deltas are replayed together.
func TestDiffThenApplyYieldsDesired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, head := Empty(), &Head{}
		for step := range 3 {
			want := desiredTables(t, fmt.Sprint(step))
			ops := Diff(s, want)
			if len(ops) == 0 {
				continue
			}
			d, err := DecodeDelta(delta(s, testTime, ops...).Encode())
			if err != nil {
				t.Fatal(err)
			}
			next, err := s.Apply(d)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeSnapshot(next.Encode())
			if err != nil {
				t.Fatal(err)
			}
			if string(decoded.Encode()) != string(next.Encode()) {
				t.Fatalf("decoded %s, want %s", decoded.Encode(), next.Encode())
			}
			parsed, err := ParseINI("t.ini", []byte(FormatINI(want)))
			if err != nil {
				t.Fatal(err)
			}
			if differences := Diff(decoded, parsed); len(differences) > 0 {
				t.Fatalf("differences after apply: %v", differences)
			}
			if head, err = head.Append(d); err != nil {
				t.Fatal(err)
			}
			s = decoded
		}
		replayed, err := head.Replay(Empty(), head.Version)
		if err != nil {
			t.Fatal(err)
		}
		if string(replayed.Encode()) != string(s.Encode()) {
			t.Fatalf("replayed %s, want %s", replayed.Encode(), s.Encode())
		}
	})
}
