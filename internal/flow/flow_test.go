package flow

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

var (
	ap       = netip.MustParseAddrPort
	caller   = ap("10.1.2.3:40001")
	service  = tables.Address{AddrPort: ap("192.0.2.10:443"), Protocol: tables.TCP}
	service2 = tables.Address{AddrPort: ap("192.0.2.11:443"), Protocol: tables.TCP}
	server1  = ap("10.9.0.1:8443")
	server2  = ap("10.9.0.2:8443")
)

func opening(t *Table, a tables.Address, endpoint netip.AddrPort) OpenParams {
	state := TCPOpening
	if a.Protocol == tables.UDP {
		state = UDPUnanswered
	}
	return OpenParams{Slot: 65, Caller: caller, Address: a, Route: 3, Server: 4, Endpoint: endpoint, State: state, Now: t.epoch}
}

// newFlow opens a flow in a new table and returns its shard and the flow. A test
// with a single goroutine need not lock the shard.
func newFlow(t testing.TB, state State, flags Flags) (*Shard, *Flow) {
	table := NewTable(100)
	a := service
	if state >= UDPUnanswered {
		a.Protocol = tables.UDP
	}
	o := opening(table, a, server1)
	o.State, o.Flags = state, flags
	s := table.Shard(o.Slot)
	f, err := s.Open(o)
	is.New(t).NoErr(err)
	return s, f
}

// Guards against a version that computes other fingerprints, which would move every
// flow and lose every exception. The expected values are XXH64 of the bytes that
// Fingerprint documents.
func TestFingerprintIsFixed(t *testing.T) {
	is := is.New(t)
	service6 := tables.Address{AddrPort: ap("[2001:db8::10]:53"), Protocol: tables.UDP}
	is.Equal(Fingerprint(caller, service), uint64(0x474426bc4f8ad3db))
	is.Equal(Fingerprint(ap("[2001:db8::3]:40001"), service6), uint64(0x41218cfa1da1e641))
	is.True(Fingerprint(caller, service) != Fingerprint(caller, tables.Address{AddrPort: service.AddrPort, Protocol: tables.UDP}))
}

// Guards against two flows whose responses cannot be told apart, and against a
// table that counts or keeps a flow that it refused.
func TestOpenRefuses(t *testing.T) {
	is := is.New(t)
	table := NewTable(2)
	s := table.Shard(65)
	f, err := s.Open(opening(table, service, server1))
	is.NoErr(err)
	_, err = s.Open(opening(table, service, server2))
	is.Equal(err, ErrExists)
	_, err = s.Open(opening(table, service2, server1))
	is.Equal(err, ErrReverseConflict)
	g, err := s.Open(opening(table, service2, server2))
	is.NoErr(err)
	udp := tables.Address{AddrPort: service2.AddrPort, Protocol: tables.UDP}
	_, err = s.Open(opening(table, udp, server1))
	is.Equal(err, ErrFull)

	is.Equal(s.Rebind(f, 9, server2), ErrReverseConflict)
	is.Equal(f.Endpoint(), server1)
	is.Equal(f.Server(), tables.ServerID(4))
	s.Close(g)
	is.NoErr(s.Rebind(f, 9, server2))
	is.Equal(s.Reverse(caller, tables.TCP, server2), f)
	is.Equal(s.Reverse(caller, tables.TCP, server1), nil)
	_, err = s.Open(opening(table, udp, server2)) // other protocol, no conflict
	is.NoErr(err)
	is.Equal(table.Len(), 2)
}

// Guards against lost or stale entries of the indexes and against leaked interned
// values, by comparing random operations with a model made of maps.
func TestTableAgreesWithMaps(t *testing.T) {
	type key struct {
		caller netip.AddrPort
		a      tables.Address
	}
	type model struct {
		endpoint netip.AddrPort
		id       tables.ServerID
	}
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		table, flows := NewTable(40), map[key]model{}
		draw := func() (key, netip.AddrPort) {
			endpoint := func(net string, label string, n int) netip.AddrPort {
				return ap(fmt.Sprintf(net, rapid.IntRange(1, n).Draw(r, label)))
			}
			p := rapid.SampledFrom([]tables.Protocol{tables.TCP, tables.UDP}).Draw(r, "protocol")
			return key{endpoint("10.0.0.1:%d", "caller", 5), tables.Address{AddrPort: endpoint("[2001:db8::%d]:80", "address", 4), Protocol: p}},
				endpoint("10.2.0.%d:80", "server", 6)
		}
		conflict := func(k key, endpoint netip.AddrPort) bool {
			for o, m := range flows {
				if o != k && o.caller == k.caller && o.a.Protocol == k.a.Protocol && m.endpoint == endpoint {
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 120).Draw(r, "steps") {
			k, endpoint := draw()
			slot := uint32(k.caller.Port() % 2)
			s := table.Shard(slot)
			f := s.Forward(k.caller, k.a)
			m, known := flows[k]
			is.Equal(f != nil, known)
			id := tables.ServerID(rapid.Uint32().Draw(r, "id"))
			switch {
			case !known:
				_, err := s.Open(OpenParams{Slot: slot, Caller: k.caller, Address: k.a, Server: id, Endpoint: endpoint, State: TCPOpening, Now: table.epoch})
				is.Equal(err == ErrReverseConflict, conflict(k, endpoint))
				if err == nil {
					flows[k] = model{endpoint, id}
				}
			case rapid.Bool().Draw(r, "close"):
				s.Close(f)
				delete(flows, k)
			default:
				is.Equal(*f, *s.Reverse(k.caller, k.a.Protocol, m.endpoint))
				is.Equal(model{f.Endpoint(), f.Server()}, m)
				err := s.Rebind(f, id, endpoint)
				is.Equal(err == ErrReverseConflict, conflict(k, endpoint))
				if err == nil {
					flows[k] = model{endpoint, id}
				}
			}
		}
		is.Equal(table.Len(), len(flows))
		for i := range table.Shards() {
			s := table.ShardAt(i)
			s.Each(func(f *Flow) bool {
				is.Equal(flows[key{f.Caller(), f.Address()}], model{f.Endpoint(), f.Server()})
				delete(flows, key{f.Caller(), f.Address()})
				s.Close(f)
				return true
			})
		}
		is.Equal(len(flows), 0)
		is.Equal([]int{table.Len(), len(table.addresses.ids), len(table.endpoints.ids)}, []int{0, 0, 0})
	})
}

// Guards against memory that grows with every flow ever opened, and against
// interned values that are lost when the interner grows.
func TestClosedFlowsAreReused(t *testing.T) {
	is := is.New(t)
	const n = 100
	table := NewTable(n)
	s := table.Shard(0)
	for range 3 {
		for i := range n {
			o := opening(table, service, netip.AddrPortFrom(server1.Addr(), uint16(i)))
			o.Caller = netip.AddrPortFrom(caller.Addr(), uint16(i))
			_, err := s.Open(o)
			is.NoErr(err)
		}
		s.Each(func(f *Flow) bool {
			is.Equal(f.Caller().Port(), f.Endpoint().Port())
			s.Close(f)
			return true
		})
	}
	is.Equal(int(s.slab.next), n+1)
	is.True(len(*table.endpoints.values.Load()) < 2*n)
}

// observe passes a packet to Flow.Observe. The step names the sender, "c" or "s",
// followed by the TCP flags S, A, F and R, "d" for payload and "E" for an ICMP
// error.
func observe(f *Flow, step string, now time.Time) Change {
	info := packet.Info{}
	d := FromCaller
	for _, c := range step {
		switch c {
		case 's':
			d = FromServer
		case 'S':
			info.TCPFlags |= packet.FlagSYN
		case 'A':
			info.TCPFlags |= packet.FlagACK
		case 'F':
			info.TCPFlags |= packet.FlagFIN
		case 'R':
			info.TCPFlags |= packet.FlagRST
		case 'd':
			info.PayloadLen = 10
		case 'E':
			info.ICMPError = true
		}
	}
	return f.Observe(d, &info, now)
}

// Guards against a flow that ends too early or too late because Observe derived a
// wrong state from a packet.
func TestObserve(t *testing.T) {
	tests := []struct {
		name  string
		state State
		steps []string
		last  Change
		want  State
		flags Flags
	}{
		{"SYN", TCPOpening, []string{"cS"}, 0, TCPOpening, 0},
		{"SYN with data", TCPOpening, []string{"cSd"}, 0, TCPOpening, PayloadSent},
		{"SYN-ACK", TCPOpening, []string{"cS", "sSA"}, BecameConfirmed, TCPEstablished, Confirmed},
		{"second response", TCPOpening, []string{"cS", "sSA", "sA"}, 0, TCPEstablished, Confirmed},
		{"request", TCPOpening, []string{"cS", "sSA", "cAd"}, 0, TCPEstablished, Confirmed | PayloadSent},
		{"refused", TCPOpening, []string{"cS", "sRA"}, BecameClosing | WasRefused, TCPClosing, 0},
		{"given up", TCPOpening, []string{"cS", "cR"}, BecameClosing, TCPClosing, 0},
		{"FIN of the caller", TCPOpening, []string{"cS", "sSA", "cFA", "cFA"}, 0, TCPEstablished, Confirmed | finCaller},
		{"FIN of the server", TCPOpening, []string{"cS", "sSA", "sFA", "cAd"}, 0, TCPEstablished, Confirmed | PayloadSent | finServer},
		{"both FINs", TCPOpening, []string{"cS", "sSA", "cFA", "sFA"}, BecameClosing, TCPClosing, Confirmed | finCaller | finServer},
		{"last ACK", TCPOpening, []string{"cS", "sSA", "sFA", "cFA", "sA"}, 0, TCPClosing, Confirmed | finCaller | finServer},
		{"RST of the server", TCPEstablished, []string{"sA", "sR"}, BecameClosing, TCPClosing, Confirmed},
		{"second RST", TCPEstablished, []string{"cR", "sR"}, 0, TCPClosing, 0},
		{"adopted", TCPEstablished, []string{"cA", "sA"}, BecameConfirmed, TCPEstablished, Confirmed},
		{"ICMP error", TCPOpening, []string{"sE"}, 0, TCPOpening, 0},
		{"UDP request", UDPUnanswered, []string{"c"}, 0, UDPUnanswered, PayloadSent},
		{"UDP response", UDPUnanswered, []string{"cd", "sd"}, BecameConfirmed, UDPAnswered, PayloadSent | Confirmed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, f := newFlow(t, tt.state, 0)
			var last Change
			for _, step := range tt.steps {
				last = observe(f, step, f.Opened())
			}
			is.Equal([]any{last, f.State(), f.flags}, []any{tt.last, tt.want, tt.flags})
			is.Equal(f.Reopens(&packet.Info{TCPFlags: packet.FlagSYN}), tt.want == TCPClosing)
			is.Equal(f.Reopens(&packet.Info{TCPFlags: packet.FlagACK}), false)
		})
	}
}

// ageAll runs one complete ageing pass and returns what it reported.
func ageAll(s *Shard, now time.Time) []AgeEvent {
	var got []AgeEvent
	s.Expire(now, 1000, func(_ *Shard, _ *Flow, a AgeEvent) { got = append(got, a) })
	return got
}

// Guards against a flow that expires before or after the idle timeout of its state.
// A packet from either end restarts the timeout.
func TestExpirePerState(t *testing.T) {
	tests := []struct {
		state State
		flags Flags
		want  time.Duration
	}{
		{TCPOpening, 0, 30 * time.Second},
		{TCPEstablished, Confirmed, 2 * time.Hour},
		{TCPEstablished, Adopted | Confirmed, 2 * time.Hour},
		{TCPEstablished, Adopted, 30 * time.Second},
		{TCPClosing, Confirmed, 30 * time.Second},
		{UDPUnanswered, 0, 30 * time.Second},
		{UDPAnswered, Confirmed, 3 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.state, tt.flags), func(t *testing.T) {
			is := is.New(t)
			s, f := newFlow(t, tt.state, tt.flags)
			last := f.Opened().Add(20 * time.Second)
			observe(f, "cA", last)
			is.Equal(f.SinceServer(last), 20*time.Second)
			is.Equal(f.Idle(last.Add(-time.Second)), time.Duration(0)) // a packet handled out of order
			is.Equal(ageAll(s, last.Add(tt.want-time.Millisecond)), nil)
			is.Equal(ageAll(s, last.Add(tt.want)), []AgeEvent{Expired})
			is.Equal([]int{s.Len(), s.table.Len()}, []int{0, 0})
			is.Equal(s.Forward(caller, service), nil)
		})
	}
}

// Guards against a flow that never expires, or expires at once, when the millisecond
// clock wraps after 49 days.
func TestExpireAcrossWrapOfMilliseconds(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	o := opening(table, service, server1)
	o.Now = table.epoch.Add(1<<32*time.Millisecond - 10*time.Second)
	s := table.Shard(o.Slot)
	f, err := s.Open(o)
	is.NoErr(err)
	is.Equal(f.Opened(), o.Now)
	is.Equal(ageAll(s, o.Now.Add(OpeningTimeout-time.Millisecond)), nil)
	is.Equal(ageAll(s, o.Now.Add(OpeningTimeout)), []AgeEvent{Expired})
}

// Guards against a hung server whose flows are not reported as silent, and against
// reporting flows that are only idle.
func TestSilent(t *testing.T) {
	type packetAt struct {
		step string
		at   time.Duration
	}
	retransmissions := []packetAt{{"cAd", 0}, {"cAd", 20 * time.Second}, {"cAd", 60 * time.Second}}
	tests := []struct {
		name  string
		state State
		sent  []packetAt
		want  []AgeEvent
	}{
		{"TCP retransmits", TCPEstablished, retransmissions, []AgeEvent{Silent}},
		{"UDP repeats", UDPAnswered, retransmissions, []AgeEvent{Silent}},
		{"short of the limit", TCPEstablished, []packetAt{{"cAd", 0}, {"cAd", 20 * time.Second}, {"cAd", 60*time.Second - time.Millisecond}}, nil},
		{"one request", TCPEstablished, []packetAt{{"cAd", 0}}, nil},
		{"one request and a keep-alive", TCPEstablished, []packetAt{{"cAd", 0}, {"cA", 70 * time.Second}}, nil},
		{"download", TCPEstablished, []packetAt{{"cAd", 0}, {"sAd", 10}, {"cA", 30 * time.Second}, {"cA", 50 * time.Second}, {"cA", 80 * time.Second}}, nil},
		{"late response", TCPEstablished, append(retransmissions[:3:3], packetAt{"sA", 61 * time.Second}), nil},
		{"closing", TCPEstablished, append(retransmissions[:3:3], packetAt{"cR", 61 * time.Second}), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, f := newFlow(t, tt.state, Confirmed)
			for _, p := range tt.sent {
				observe(f, p.step, f.Opened().Add(p.at))
			}
			now := f.Opened().Add(85 * time.Second)
			is.Equal(ageAll(s, now), tt.want)
			is.Equal(ageAll(s, now), nil) // reported once
			if tt.want == nil {
				return
			}
			observe(f, "sA", now)
			for _, p := range retransmissions {
				observe(f, p.step, now.Add(p.at))
			}
			is.Equal(ageAll(s, now.Add(time.Minute)), tt.want) // silent again
		})
	}
}

// Guards against an Expire call that exceeds its limit, skips flows or stops when
// the callback closes a flow.
func TestExpireInSteps(t *testing.T) {
	is := is.New(t)
	table := NewTable(1000)
	for i := range 1000 {
		o := opening(table, service, server1)
		o.Slot, o.Caller = uint32(i), netip.AddrPortFrom(caller.Addr(), uint16(i))
		s := table.Shard(o.Slot)
		f, err := s.Open(o)
		is.NoErr(err)
		if i%2 == 0 {
			f.unanswered, f.lastCaller = silentPackets, millis(SilentAfter.Milliseconds())
		}
	}
	seen := map[AgeEvent]int{}
	for range 100 {
		is.True(table.Expire(table.epoch.Add(time.Minute), 30, func(s *Shard, f *Flow, a AgeEvent) {
			seen[a]++
			if a == Silent {
				s.Close(f)
			}
		}) <= 30)
	}
	is.Equal(seen, map[AgeEvent]int{Silent: 500, Expired: 500})
	is.Equal(table.Len(), 0)
}

// Guards against data races between shards, which share the interned values and the
// flow count.
func TestShardsAreIndependent(t *testing.T) {
	is := is.New(t)
	table := NewTable(1000)
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 2000 {
				o := opening(table, service, netip.AddrPortFrom(server1.Addr(), uint16(i%50)))
				o.Slot, o.Caller = uint32(w), netip.AddrPortFrom(caller.Addr(), uint16(i))
				s := table.Shard(o.Slot)
				s.Lock()
				f, err := s.Open(o)
				if err == nil {
					err = s.Rebind(f, 5, server2)
				}
				if g := s.Reverse(o.Caller, tables.TCP, server2); err == nil && g == f && i%8 != 0 {
					s.Close(f)
				}
				s.Unlock()
			}
		})
	}
	wg.Go(func() {
		for range 200 {
			table.Expire(table.epoch.Add(time.Hour), 100, func(*Shard, *Flow, AgeEvent) {})
		}
	})
	wg.Wait()
	remaining := 0
	for i := range table.Shards() {
		remaining += table.ShardAt(i).Len()
	}
	is.Equal(remaining, table.Len())
	is.True(remaining <= table.Max())
}
