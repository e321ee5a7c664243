// Package site runs a whole site in one process: callers, the fabric, balancers
// and backend servers. While callers open flows, it makes planned changes and
// crashes a balancer. It then reports how the flows ended.
package site

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/backend"
)

// Description lists the zones, entry VMs and services of a site.
type Description struct {
	Name   string
	Region string
	Zones  []string
	// ZoneLatency and CallerLatency are the one-way latencies between two zones
	// and between a caller and a zone.
	ZoneLatency, CallerLatency time.Duration
	VMs                        []VM
	Services                   []Service
}

// VM is an entry VM, which runs one balancer.
type VM struct {
	Name     string
	Zone     string
	Capacity uint32
}

// Workload is the kind of requests that callers send to a service.
type Workload int

// Workloads of a service.
const (
	// DeskWorkload consists of short checks and confirmations, some of them on
	// long-lived flows.
	DeskWorkload Workload = iota
	// TransferWorkload consists of requests with large responses.
	TransferWorkload
)

// Service is a route and the pool of the same name.
type Service struct {
	Name     string
	Protocol tables.Protocol
	Address  netip.AddrPort
	Workload Workload
	// Costs are the times that requests occupy a slot of a server with speed 1.
	Costs backend.Costs
	// FlowsPerSecond is the mean rate at which callers open flows.
	FlowsPerSecond float64
	Servers        []Server
}

// Server is a backend server.
type Server struct {
	Name     string
	Zone     string
	Endpoint netip.AddrPort
	// Speed is relative to 1, the speed for which Service.Costs are given.
	// Operators do not know it: all servers have the same weight in the tables.
	Speed float64
	// WarmUp is the time from the server's start until it reaches Speed.
	WarmUp time.Duration
}

// validate returns an error if the changes of a run are impossible on the site.
func (d Description) validate() error {
	if len(d.VMs) < 3 {
		return errors.Errorf("site %q: %d VMs, want at least 3 because one leaves and one is killed", d.Name, len(d.VMs))
	}
	if len(d.Services) == 0 {
		return errors.Errorf("site %q: no services", d.Name)
	}
	for _, s := range d.Services {
		if len(s.Servers) < 2 {
			return errors.Errorf("site %q: service %q: want at least 2 servers", d.Name, s.Name)
		}
	}
	return nil
}

// Desired returns the tables that operators would write for the site.
func (d Description) Desired() tables.Desired {
	var desired tables.Desired
	for _, s := range d.Services {
		desired.Routes = append(desired.Routes, tables.Route{
			Name: s.Name, Pool: s.Name, Address: tables.Address{AddrPort: s.Address, Protocol: s.Protocol},
		})
		pool := tables.Pool{Name: s.Name}
		for _, server := range s.Servers {
			pool.Servers = append(pool.Servers, tables.Server{
				Name: server.Name, Endpoint: server.Endpoint, Zone: server.Zone,
			}.WithDefaults())
		}
		desired.Pools = append(desired.Pools, pool)
	}
	desired.Sort()
	return desired
}
