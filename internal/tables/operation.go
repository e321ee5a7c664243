package tables

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Operation is one modification within a delta: PutRoute, DeleteRoute, PutPool,
// DeletePool, PutServer or DeleteServer.
type Operation interface {
	// Entry returns the entry that the operation changes.
	Entry() Entry
	// String describes the operation in one line.
	String() string

	apply(d *draft)
}

// PutRoute creates or replaces a route. If its address changes, the route gets a
// new id; if only its pool changes, it keeps its id.
type PutRoute struct {
	Name    string  `json:"name"`
	Address Address `json:"address"`
	Pool    string  `json:"pool"`
}

// DeleteRoute removes a route and reserves its address.
type DeleteRoute struct {
	Name string `json:"name"`
}

// PutPool creates a pool, or replaces all servers of a pool.
type PutPool struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers,omitempty"`
}

// DeletePool removes a pool and its servers, and reserves their endpoints.
type DeletePool struct {
	Name string `json:"name"`
}

// PutServer creates or replaces one server of an existing pool. If its endpoint
// changes, the server gets a new id. The id in Server is ignored.
type PutServer struct {
	Pool   string `json:"pool"`
	Server Server `json:"server"`
}

// DeleteServer removes a server and reserves its endpoint.
type DeleteServer struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

// Entry implements Operation.
func (o PutRoute) Entry() Entry { return Entry{Kind: RouteEntry, Name: o.Name} }

// Entry implements Operation.
func (o DeleteRoute) Entry() Entry { return Entry{Kind: RouteEntry, Name: o.Name} }

// Entry implements Operation.
func (o PutPool) Entry() Entry { return Entry{Kind: PoolEntry, Name: o.Name} }

// Entry implements Operation.
func (o DeletePool) Entry() Entry { return Entry{Kind: PoolEntry, Name: o.Name} }

// Entry implements Operation.
func (o PutServer) Entry() Entry {
	return Entry{Kind: ServerEntry, Pool: o.Pool, Name: o.Server.Name}
}

// Entry implements Operation.
func (o DeleteServer) Entry() Entry {
	return Entry{Kind: ServerEntry, Pool: o.Pool, Name: o.Name}
}

// String implements Operation.
func (o PutRoute) String() string {
	return fmt.Sprintf("put %s address=%s pool=%s", o.Entry(), o.Address, o.Pool)
}

// String implements Operation.
func (o DeleteRoute) String() string { return "delete " + o.Entry().String() }

// String implements Operation.
func (o PutPool) String() string {
	return fmt.Sprintf("put %s servers=%d", o.Entry(), len(o.Servers))
}

// String implements Operation.
func (o DeletePool) String() string { return "delete " + o.Entry().String() }

// String implements Operation.
func (o PutServer) String() string {
	return fmt.Sprintf("put %s %s", o.Entry(), o.Server.Settings())
}

// String implements Operation.
func (o DeleteServer) String() string { return "delete " + o.Entry().String() }

// Settings returns the server's settings in the form that ParseServer accepts.
func (s Server) Settings() string {
	return fmt.Sprintf("%s zone=%s weight=%d slots=%d connections=%d state=%s",
		s.Endpoint, s.Zone, s.Weight, s.Slots, s.Connections, s.State)
}

// envelope is the JSON form of an operation. Exactly one field is set.
type envelope struct {
	PutRoute     *PutRoute     `json:"put_route,omitempty"`
	DeleteRoute  *DeleteRoute  `json:"delete_route,omitempty"`
	PutPool      *PutPool      `json:"put_pool,omitempty"`
	DeletePool   *DeletePool   `json:"delete_pool,omitempty"`
	PutServer    *PutServer    `json:"put_server,omitempty"`
	DeleteServer *DeleteServer `json:"delete_server,omitempty"`
}

// pack returns the JSON form of an operation.
func pack(op Operation) envelope {
	switch o := op.(type) {
	case PutRoute:
		return envelope{PutRoute: &o}
	case DeleteRoute:
		return envelope{DeleteRoute: &o}
	case PutPool:
		o.Servers = omitDefaults(o.Servers)
		return envelope{PutPool: &o}
	case DeletePool:
		return envelope{DeletePool: &o}
	case PutServer:
		o.Server = omitDefaults([]Server{o.Server})[0]
		return envelope{PutServer: &o}
	case DeleteServer:
		return envelope{DeleteServer: &o}
	}
	panic(fmt.Sprintf("tables: unknown operation %T", op))
}

// unpack returns the operation in the envelope. It fails on an unknown kind of
// operation: a daemon that skipped it would have different tables than its peers
// under the same version.
func (e envelope) unpack() (Operation, error) {
	var ops []Operation
	if e.PutRoute != nil {
		ops = append(ops, *e.PutRoute)
	}
	if e.DeleteRoute != nil {
		ops = append(ops, *e.DeleteRoute)
	}
	if e.PutPool != nil {
		e.PutPool.Servers = fillDefaults(e.PutPool.Servers)
		ops = append(ops, *e.PutPool)
	}
	if e.DeletePool != nil {
		ops = append(ops, *e.DeletePool)
	}
	if e.PutServer != nil {
		e.PutServer.Server = fillDefaults([]Server{e.PutServer.Server})[0]
		ops = append(ops, *e.PutServer)
	}
	if e.DeleteServer != nil {
		ops = append(ops, *e.DeleteServer)
	}
	if len(ops) != 1 {
		return nil, errors.Errorf("operation contains %d known kinds, want exactly 1", len(ops))
	}
	return ops[0], nil
}

// omitDefaults returns copies in which settings at their defaults are zero, so
// that they are omitted from the JSON form. This keeps large tables (2700 routes,
// 4800 servers) below MaxValueSize.
func omitDefaults(servers []Server) []Server {
	out := make([]Server, len(servers))
	for i, s := range servers {
		if s.Weight == DefaultWeight {
			s.Weight = 0
		}
		if s.Slots == DefaultSlots {
			s.Slots = 0
		}
		if s.Connections == DefaultConnections {
			s.Connections = 0
		}
		if s.State == Active {
			s.State = ""
		}
		out[i] = s
	}
	return out
}

// fillDefaults is the inverse of omitDefaults. It modifies servers in place and
// returns them.
func fillDefaults(servers []Server) []Server {
	for i := range servers {
		servers[i] = servers[i].WithDefaults()
	}
	return servers
}

// WithDefaults returns a copy of the server in which unset settings have their
// default values.
func (s Server) WithDefaults() Server {
	if s.Weight == 0 {
		s.Weight = DefaultWeight
	}
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.Connections == 0 {
		s.Connections = DefaultConnections
	}
	if s.State == "" {
		s.State = Active
	}
	return s
}
