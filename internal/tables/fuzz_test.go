package tables

import (
	"testing"
	"time"
)

// The fuzz tests guard against input that makes a decoder panic, and against
// accepted input that changes when it is encoded and decoded again.

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(Empty().Encode())
	f.Add([]byte(`{"version":3,"next_id":3,"routes":[{"id":1,"name":"r","address":"192.0.2.1:80/tcp","pool":"p"}],` +
		`"pools":[{"name":"p","servers":[{"id":2,"name":"s","endpoint":"10.0.0.1:80","zone":"z"}]}],` +
		`"reservations":[{"address":"10.0.0.2:80","owner":"p/t","until":"2026-03-01T12:00:00Z"}]}`))
	f.Add([]byte(`{"next_id":4294967295,"routes":[{"id":4294967295,"name":"r"},{}],"pools":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(data)
		if err != nil {
			return
		}
		again, err := DecodeSnapshot(s.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if string(again.Encode()) != string(s.Encode()) {
			t.Fatalf("%s became %s", s.Encode(), again.Encode())
		}
	})
}

func FuzzDecodeDelta(f *testing.F) {
	f.Add(Delta{Version: 1, WriteID: "w", Time: testTime, Operations: []Operation{
		PutPool{Name: "p", Servers: []Server{server("s", "10.0.0.1:80")}},
		PutServer{Pool: "p", Server: server("t", "10.0.0.2:80")},
		PutRoute{Name: "r", Address: tcp("192.0.2.1:80"), Pool: "p"}}}.Encode())
	f.Add([]byte(`{"version":1,"write_id":"w","time":"2026-03-01T12:00:00Z","operations":[{"delete_route":{"name":"r"}}]}`))
	f.Add([]byte(`{"version":1,"write_id":"w","time":"9999-12-31T23:59:59Z","operations":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDelta(data)
		if err != nil {
			return
		}
		again, err := DecodeDelta(d.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if string(again.Encode()) != string(d.Encode()) {
			t.Fatalf("%s became %s", d.Encode(), again.Encode())
		}
		d.Version = 1
		s, err := Empty().Apply(d)
		if err != nil {
			return
		}
		if _, err := DecodeSnapshot(s.Encode()); err != nil {
			t.Fatalf("applied tables cannot be decoded: %v", err)
		}
	})
}

func FuzzDecodeHead(f *testing.F) {
	h, _ := (&Head{}).Append(Delta{Version: 1, WriteID: "w", Time: testTime, Operations: []Operation{PutPool{Name: "p"}}})
	f.Add(h.Encode())
	f.Add([]byte(`{"version":1,"base":18446744073709551615,"deltas":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHead(data)
		if err != nil {
			return
		}
		again, err := DecodeHead(h.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if string(again.Encode()) != string(h.Encode()) {
			t.Fatalf("%s became %s", h.Encode(), again.Encode())
		}
		if version, ok := h.CompactionBase(); ok {
			if _, err := h.Rebase(version); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func FuzzParseINI(f *testing.F) {
	f.Add([]byte(goodINI))
	f.Add([]byte("[pool p]\nserver.a = \"10.0.0.1:1 zone=z\"\n`x`=`\n"))
	f.Add([]byte("\xef\xbb\xbf[route r]\naddress=%(pool)s\n- = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseINI("t.ini", data)
		if err != nil {
			return
		}
		s, err := Empty().Apply(Delta{Version: 1, WriteID: "w", Time: testTime.Add(time.Hour), Operations: Diff(Empty(), d)})
		if err != nil {
			return // ParseINI does not check names and rules between entries
		}
		again, err := ParseINI("t.ini", []byte(FormatINI(s.Desired())))
		if err != nil {
			t.Fatal(err)
		}
		if differences := Diff(s, again); len(differences) > 0 {
			t.Fatalf("differences after reading back: %v", differences)
		}
	})
}
