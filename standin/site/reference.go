package site

import (
	"fmt"
	"net/netip"
	"time"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/backend"
)

// Costs at which a few hundred flows per second keep a pool of the reference size
// busy. One process can handle that rate together with the callers.
var (
	deskCosts     = backend.Costs{Check: 40 * time.Millisecond, Confirm: 60 * time.Millisecond, Chunk: 40 * time.Millisecond}
	transferCosts = backend.Costs{Check: 10 * time.Millisecond, Confirm: 10 * time.Millisecond, Chunk: 30 * time.Millisecond}
)

// targetUtilisation is the share of a pool's capacity that the workload uses.
const targetUtilisation = 0.5

// speeds are assigned to the servers of a pool in turn. They differ widely, like
// those of real deployments.
var speeds = []float64{1, 0.6, 1.5, 1, 2, 0.8, 1.2}

// capacities are assigned to entry VMs in turn. Deployments have VMs of different
// sizes.
var capacities = []uint32{100, 100, 50, 200}

// Dev returns a small site: 4 balancers of different capacities in 2 zones, one
// service over HTTP/3 and one over TCP.
func Dev() Description {
	d := Description{
		Name: "dev", Region: "dev", Zones: []string{"dev-a", "dev-b"},
		ZoneLatency: time.Millisecond, CallerLatency: time.Millisecond,
	}
	d.addVMs(4)
	d.addService("maps", tables.UDP, TransferWorkload, 4)
	d.addService("desk", tables.TCP, DeskWorkload, 5)
	return d
}

// Quesada returns the reference deployment in region cartago.
func Quesada() Description {
	d := Description{
		Name: "quesada", Region: "cartago", Zones: []string{"cartago-norte", "cartago-centro", "cartago-sur"},
		ZoneLatency: time.Millisecond, CallerLatency: time.Millisecond,
	}
	d.addVMs(8)
	d.addService("despacho", tables.TCP, DeskWorkload, 14)
	d.addService("mapas", tables.UDP, TransferWorkload, 4)
	return d
}

// Sullam returns the reference deployment in region tn-north.
func Sullam() Description {
	d := Description{
		Name: "sullam", Region: "tn-north", Zones: []string{"tn-north-a", "tn-north-b", "tn-north-c", "tn-north-d"},
		ZoneLatency: time.Millisecond, CallerLatency: 3 * time.Millisecond,
	}
	d.addVMs(8)
	d.addService("counter-desk", tables.UDP, DeskWorkload, 14)
	d.addService("guide-shelf", tables.TCP, TransferWorkload, 4)
	return d
}

// ByName returns the site dev, quesada or sullam.
func ByName(name string) (Description, bool) {
	for _, d := range []Description{Dev(), Quesada(), Sullam()} {
		if d.Name == name {
			return d, true
		}
	}
	return Description{}, false
}

func (d *Description) addVMs(n int) {
	for i := range n {
		d.VMs = append(d.VMs, VM{
			Name: fmt.Sprintf("%s-vm%d", d.Name, i+1), Zone: d.zone(i), Capacity: capacities[i%len(capacities)],
		})
	}
}

func (d *Description) zone(i int) string { return d.Zones[i%len(d.Zones)] }

func (d *Description) addService(name string, protocol tables.Protocol, workload Workload, servers int) {
	index := byte(len(d.Services) + 1)
	s := Service{
		Name: name, Protocol: protocol, Workload: workload, Costs: deskCosts,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, index}), 443),
	}
	if workload == TransferWorkload {
		s.Costs = transferCosts
	}
	totalSpeed := 0.0
	for i := range servers {
		speed := speeds[i%len(speeds)]
		totalSpeed += speed
		s.Servers = append(s.Servers, Server{
			Name: fmt.Sprintf("%s%02d", name, i+1), Zone: d.zone(i), Speed: speed,
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, index, 0, byte(i + 1)}), 8443),
		})
	}
	slots := totalSpeed * backend.DefaultSlots
	s.FlowsPerSecond = targetUtilisation * slots / meanSlotTime(workload, s.Costs).Seconds()
	d.Services = append(d.Services, s)
}
