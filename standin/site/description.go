// Package site assembles a whole site in one process, callers, fabric,
// balancers and backend servers, runs a workload with planned changes and a
// crash, and reports what the callers experienced.
package site

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/backend"
)

// Description is a site: its zones, entry VMs and services.
type Description struct {
	Name   string
	Region string
	Zones  []string
	// ZoneLatency and CallerLatency are one-way.
	ZoneLatency, CallerLatency time.Duration
	VMs                        []VM
	Services                   []Service
}

// VM is an entry VM with one balancer.
type VM struct {
	Name     string
	Zone     string
	Capacity uint32
}

// Workload is what callers do with a service.
type Workload int

// Uses of a service.
const (
	// DeskWorkload is many short checks and confirmations, some on long-lived flows.
	DeskWorkload Workload = iota
	// TransferWorkload are long responses.
	TransferWorkload
)

// Service is a route with the pool of the same name.
type Service struct {
	Name     string
	Protocol tables.Protocol
	Address  netip.AddrPort
	Workload Workload
	// Costs are slot times of a server of speed 1.
	Costs backend.Costs
	// FlowsPerSecond is how many flows callers open.
	FlowsPerSecond float64
	Servers        []Server
}

// Server is a backend server.
type Server struct {
	Name     string
	Zone     string
	Endpoint netip.AddrPort
	// Speed is what the server does, relative to 1. The operators do not know
	// it: all servers have the same weight in the tables.
	Speed float64
	// Cold is how long the server needs to reach its speed after its start.
	Cold time.Duration
}

// check refuses a description on which the run's planned changes are
// impossible.
func (d Description) check() error {
	if len(d.VMs) < 3 {
		return errors.Errorf("site %q: %d VMs, but one leaves and one is killed: want 3 or more", d.Name, len(d.VMs))
	}
	if len(d.Services) == 0 {
		return errors.Errorf("site %q: no services", d.Name)
	}
	for _, s := range d.Services {
		if len(s.Servers) < 2 {
			return errors.Errorf("site %q: service %q: want 2 servers or more", d.Name, s.Name)
		}
	}
	return nil
}

// Desired returns the operators' tables for the site.
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
