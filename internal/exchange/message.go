package exchange

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/peerapi"
)

// Limits of a report. A daemon that uses more servers than fit omits some.
const (
	// maxReportSize is the maximum size of a datagram in bytes, so that it fits into
	// one packet of the network.
	maxReportSize       = 1400
	maxReportedServers  = 80
	maxReportedSuspects = 40
	maxReportedWatchers = 4
	maxReportedZones    = 16
)

// encodeReport encodes a report within its limits.
func encodeReport(r Report) ([]byte, error) {
	m := &peerapi.Report{
		Vm: r.VM, Zone: r.Zone, Start: r.Start, Sequence: r.Sequence, Era: r.Position.Era, Revision: r.Position.Revision,
		ConfirmedBy: r.Confirmation.Source, Confirmation: r.Confirmation.Number, AgeMs: uint64(r.Age.Milliseconds()), Watching: r.Watching, Leaving: r.Leaving, StoreFailing: r.StoreFailing,
	}
	for c, n := range r.Load.InProgress {
		if len(m.Working) == maxReportedServers {
			break
		}
		m.Working = append(m.Working, &peerapi.ServerLoad{Cookie: uint32(c), Requests: uint32(n)})
	}
	for _, c := range r.Load.Suspected[:min(maxReportedSuspects, len(r.Load.Suspected))] {
		m.Suspected = append(m.Suspected, uint32(c))
	}
	for addr, age := range r.Watchers {
		if len(m.Watchers) == maxReportedWatchers {
			break
		}
		m.Watchers = append(m.Watchers, &peerapi.Watcher{Address: addr.AsSlice(), AgeMs: uint64(age.Milliseconds())})
	}
	for zone, age := range r.Zones {
		if len(m.HeardZones) == maxReportedZones {
			break
		}
		m.HeardZones = append(m.HeardZones, &peerapi.HeardZone{ZoneId: uint32(zone), AgeMs: uint64(age.Milliseconds())})
	}
	encodeEvidence(m, r.Evidence)
	// The load of some servers is the part that a report can best do without.
	for proto.Size(m) > maxReportSize && len(m.Working) > 0 {
		m.Working = m.Working[:len(m.Working)*3/4]
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	return b, nil
}

// maxReportedRequests limits the open requests that a report may state for one
// server.
const maxReportedRequests = 1 << 20

// decodeReport decodes and checks a report.
func decodeReport(b []byte) (Report, error) {
	var m peerapi.Report
	if err := proto.Unmarshal(b, &m); err != nil {
		return Report{}, errors.Wrap(err, "decode report")
	}
	if m.Vm == "" || m.Zone == "" || m.Start == 0 {
		return Report{}, errors.New("VM, zone or start time is missing in the report")
	}
	r := Report{
		VM: m.Vm, Zone: m.Zone, Start: m.Start, Sequence: m.Sequence,
		Position:     directory.Position{Era: m.Era, Revision: m.Revision},
		Confirmation: registry.Confirmation{Source: m.ConfirmedBy, Number: m.Confirmation},
		Age:          milliseconds(m.AgeMs), Watching: m.Watching, Leaving: m.Leaving, StoreFailing: m.StoreFailing,
		Load:     placement.Load{InProgress: make(map[directory.Cookie]int, len(m.Working))},
		Watchers: make(map[netip.Addr]time.Duration, len(m.Watchers)),
		Zones:    make(map[ZoneID]time.Duration, len(m.HeardZones)),
	}
	r.Evidence = decodeEvidence(&m)
	for _, w := range m.Working {
		r.Load.InProgress[directory.Cookie(w.Cookie)] = int(min(w.Requests, maxReportedRequests))
	}
	for _, c := range m.Suspected {
		r.Load.Suspected = append(r.Load.Suspected, directory.Cookie(c))
	}
	for _, w := range m.Watchers {
		addr, ok := netip.AddrFromSlice(w.Address)
		if !ok {
			return Report{}, errors.Errorf("watcher %x in the report is no IP address", w.Address)
		}
		r.Watchers[addr] = milliseconds(w.AgeMs)
	}
	for _, z := range m.HeardZones {
		r.Zones[ZoneID(z.ZoneId)] = milliseconds(z.AgeMs)
	}
	return r, nil
}

// maxAge limits ages in messages, so that they cannot overflow.
const maxAge = 24 * time.Hour

// milliseconds converts an age in milliseconds, limited to maxAge.
func milliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

// encodeReading encodes a reading that was confirmed age before now. It compresses
// large values with p.
func encodeReading(r registry.Reading, c registry.Confirmation, age time.Duration, now time.Time, p *packer) (*peerapi.FetchItemsResponse, error) {
	m := &peerapi.FetchItemsResponse{
		Era: r.Era, Revision: r.Revision, Complete: r.Complete, ReadingAgeMs: uint64(min(maxAge, age).Milliseconds()),
		ConfirmedBy: c.Source, Confirmation: c.Number,
	}
	for _, i := range r.Items {
		value, packed, err := p.pack(i)
		if err != nil {
			return nil, err
		}
		m.Items = append(m.Items, &peerapi.Item{
			Key: i.Key, Value: value, Packed: packed, Revision: i.Revision, Created: i.Created, Deleted: i.Deleted, Lost: i.Lost, Lease: i.Lease,
			AgeMs: uint64(max(0, now.Sub(i.ReadAt)).Milliseconds()),
		})
	}
	return m, nil
}

// decodeReading decodes a response that arrived now.
func decodeReading(m *peerapi.FetchItemsResponse, now time.Time) (registry.Reading, error) {
	r := registry.Reading{Position: directory.Position{Era: m.Era, Revision: m.Revision}, Complete: m.Complete}
	items, err := unpackItems(m)
	if err != nil {
		return registry.Reading{}, err
	}
	for _, i := range items {
		value := i.Value
		if i.Packed {
			var err error
			if value, err = unpack(i.Value); err != nil {
				return registry.Reading{}, errors.Wrapf(err, "item %q", i.Key)
			}
		}
		r.Items = append(r.Items, registry.Item{
			Key: i.Key, Value: value, Revision: i.Revision, Created: i.Created, Deleted: i.Deleted, Lost: i.Lost, Lease: i.Lease,
			ReadAt: now.Add(-milliseconds(i.AgeMs)),
		})
	}
	return r, nil
}
