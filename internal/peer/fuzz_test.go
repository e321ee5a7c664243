package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/peerapi"
)

// FuzzLinkMessage guards against messages from a peer that crash a daemon, and against
// invalid records that are accepted.
func FuzzLinkMessage(f *testing.F) {
	record := &peerapi.MemberRecord{
		Name: "vm-1", Region: testRegion, Zone: "z1", ControlAddress: "10.0.0.1:1", DataAddress: "[::1]:2",
		Capacity: 1, Incarnation: 1,
	}
	for _, m := range []*peerapi.LinkMessage{
		{Kind: &peerapi.LinkMessage_Hello{Hello: &peerapi.Hello{Self: record}}},
		{Kind: &peerapi.LinkMessage_Members{Members: &peerapi.MemberUpdate{Records: []*peerapi.MemberRecord{record, nil}}}},
		{Kind: &peerapi.LinkMessage_Tables{Tables: &peerapi.TablesUpdate{Version: 1, Delta: []byte("{}")}}},
		{Kind: &peerapi.LinkMessage_Heartbeat{Heartbeat: &peerapi.Heartbeat{TablesAgeMs: 1 << 63}}},
	} {
		data, err := proto.Marshal(m)
		mustSucceed(f, err)
		f.Add(data)
	}
	id := Identity{Name: "vm-1", Region: testRegion}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := new(peerapi.LinkMessage)
		if proto.Unmarshal(data, m) != nil {
			return
		}
		if h, err := checkHello(m, id, testRegion); err == nil && h.self.Name != id.Name {
			t.Fatalf("hello of %q was accepted from %q", h.self.Name, id.Name)
		}
		valid, malformed := checkRecords(m.GetMembers())
		if got := len(valid) + malformed; got != len(m.GetMembers().GetRecords()) {
			t.Fatalf("%d records, but %d valid or malformed ones", len(m.GetMembers().GetRecords()), got)
		}
		for _, r := range valid {
			if again, err := member.FromRecord(r.Record()); err != nil || again != r {
				t.Fatalf("record %+v was decoded as %+v: %v", r, again, err)
			}
		}
		if u := m.GetTables(); u != nil && checkTables(u) == nil && (u.GetVersion() == 0 || len(u.GetDelta()) == 0) {
			t.Fatal("empty table change was accepted")
		}
		if age := ageFromMillis(m.GetHeartbeat().GetTablesAgeMs()); age < 0 || age > maxAge {
			t.Fatalf("age %v is out of range", age)
		}
	})
}
