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

// callerHosts is how many machines the callers use. A port is not used twice
// for one service in a run.
const callerHosts = 16

// world is what surrounds the balancers.
type world struct {
	fabric     *fabric.Fabric
	identity   *backend.Identity
	executions *backend.Executions
	callers    []*host.Host
	servers    map[string]map[string]*backend.Server // by pool and name
}

func newWorld(d Description, seed uint64) (*world, error) {
	f, err := fabric.New(fabric.Options{Seed: seed})
	if err != nil {
		return nil, err
	}
	w := &world{fabric: f, executions: backend.NewExecutions(), servers: make(map[string]map[string]*backend.Server)}
	if err := w.build(d); err != nil {
		w.close()
		return nil, errors.Wrapf(err, "build site %q", d.Name)
	}
	return w, nil
}

func (w *world) build(d Description) (err error) {
	w.setLatencies(d)
	if w.identity, err = backend.NewIdentity(); err != nil {
		return err
	}
	for _, s := range d.Services {
		if err := w.startService(s); err != nil {
			return err
		}
	}
	for i := range callerHosts {
		addr := netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)})
		h, err := host.New(w.fabric, addr, fabric.Outside)
		if err != nil {
			return err
		}
		w.callers = append(w.callers, h)
	}
	return nil
}

func (w *world) setLatencies(d Description) {
	w.fabric.SetCallerLatency(d.CallerLatency)
	for i, a := range d.Zones {
		for _, b := range d.Zones[i+1:] {
			w.fabric.SetLatency(a, b, d.ZoneLatency)
		}
	}
}

func (w *world) startService(s Service) error {
	protocol := inet.TCP
	if s.Protocol == tables.UDP {
		protocol = inet.UDP
	}
	w.fabric.Ledger().AddService(protocol, s.Address, s.Name)
	w.servers[s.Name] = make(map[string]*backend.Server)
	for _, o := range s.Servers {
		server, err := backend.Start(w.fabric, backend.Options{
			Name: o.Name, Zone: o.Zone, Endpoint: o.Endpoint, Speed: o.Speed, Cold: o.Cold, Costs: s.Costs,
			HTTP3: s.Protocol == tables.UDP, Identity: w.identity, Executions: w.executions,
		})
		if err != nil {
			return errors.Wrapf(err, "service %q", s.Name)
		}
		if w.servers[s.Name][o.Name] != nil {
			server.Close()
			return errors.Errorf("service %q: server name %q is not unique", s.Name, o.Name)
		}
		w.servers[s.Name][o.Name] = server
		w.fabric.Ledger().AddServer(o.Endpoint, s.Name)
	}
	return nil
}

func (w *world) server(pool, name string) (*backend.Server, error) {
	s := w.servers[pool][name]
	if s == nil {
		return nil, errors.Errorf("no server %q in pool %q", name, pool)
	}
	return s, nil
}

func (w *world) close() {
	for _, pool := range w.servers {
		for _, s := range pool {
			s.Close()
		}
	}
	for _, h := range w.callers {
		h.Close()
	}
	_ = w.fabric.Close() // only loopback sockets are left
}
