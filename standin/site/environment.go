package site

import (
	"net/netip"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/host"
	"knapweedshore.example/standin/fabric/inet"
)

// callerHosts is the number of machines from which callers open flows. There must
// be enough that no ephemeral port is reused for the same service in a run.
const callerHosts = 16

// environment is the fabric with the callers and backend servers attached to it.
type environment struct {
	fabric     *fabric.Fabric
	identity   *backend.Identity
	executions *backend.Executions
	callers    []*host.Host
	servers    map[string]map[string]*backend.Server // by pool and name
}

func newEnvironment(d Description, seed uint64) (*environment, error) {
	f, err := fabric.New(fabric.Options{Seed: seed})
	if err != nil {
		return nil, err
	}
	e := &environment{fabric: f, executions: backend.NewExecutions(), servers: make(map[string]map[string]*backend.Server)}
	if err := e.build(d); err != nil {
		e.close()
		return nil, errors.Wrapf(err, "create site %q", d.Name)
	}
	return e, nil
}

func (e *environment) build(d Description) (err error) {
	e.setLatencies(d)
	if e.identity, err = backend.NewIdentity(); err != nil {
		return err
	}
	for _, s := range d.Services {
		if err := e.startService(s); err != nil {
			return err
		}
	}
	for i := range callerHosts {
		addr := netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)})
		h, err := host.New(e.fabric, addr, fabric.Outside)
		if err != nil {
			return err
		}
		e.callers = append(e.callers, h)
	}
	return nil
}

func (e *environment) setLatencies(d Description) {
	e.fabric.SetCallerLatency(d.CallerLatency)
	for i, a := range d.Zones {
		for _, b := range d.Zones[i+1:] {
			e.fabric.SetLatency(a, b, d.ZoneLatency)
		}
	}
}

func (e *environment) startService(s Service) error {
	protocol := inet.TCP
	if s.Protocol == tables.UDP {
		protocol = inet.UDP
	}
	e.fabric.Ledger().AddService(protocol, s.Address, s.Name)
	e.servers[s.Name] = make(map[string]*backend.Server)
	for _, o := range s.Servers {
		server, err := backend.Start(e.fabric, backend.Options{
			Name: o.Name, Zone: o.Zone, Endpoint: o.Endpoint, Speed: o.Speed, WarmUp: o.WarmUp, Costs: s.Costs,
			HTTP3: s.Protocol == tables.UDP, Identity: e.identity, Executions: e.executions,
		})
		if err != nil {
			return errors.Wrapf(err, "service %q", s.Name)
		}
		if e.servers[s.Name][o.Name] != nil {
			server.Close()
			return errors.Errorf("service %q: server name %q is not unique", s.Name, o.Name)
		}
		e.servers[s.Name][o.Name] = server
		e.fabric.Ledger().AddServer(o.Endpoint, s.Name)
	}
	return nil
}

func (e *environment) server(pool, name string) (*backend.Server, error) {
	s := e.servers[pool][name]
	if s == nil {
		return nil, errors.Errorf("no server %q in pool %q", name, pool)
	}
	return s, nil
}

func (e *environment) close() {
	for _, pool := range e.servers {
		for _, s := range pool {
			s.Close()
		}
	}
	for _, h := range e.callers {
		h.Close()
	}
	_ = e.fabric.Close() // an error only concerns a loopback socket
}
