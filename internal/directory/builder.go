package directory

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Retention is for how long servers are kept after their registration has vanished.
type Retention struct {
	// Missing is for how long at least servers whose registrations vanished without a
	// drain take flows if they were the greater part of their pool: the registrations have
	// lapsed with the store then, and the few that are back first could not serve
	// everybody. Fewer have most likely crashed.
	Missing time.Duration
	// Retired is how long packets of open flows still find a server whose
	// registration has vanished.
	Retired time.Duration
}

// lapseGrace covers registrations that lapsed with the store: they are back
// within about 2 s of its return.
const lapseGrace = 2300 * time.Millisecond

// RetentionFor returns the times for the bound within which a server that is gone gets
// no new flows any more, and for the longest life of a flow. A fifth of the bound
// is left for the news to spread.
func RetentionFor(drain, flowLife time.Duration) Retention {
	return Retention{Missing: min(lapseGrace, drain*4/5), Retired: flowLife}
}

// DefaultRetention fits the bounds of the users' platform.
var DefaultRetention = RetentionFor(3*time.Second, time.Minute)

// Change is one item of a registry. Exactly one of Config, Server, Deleted, VM,
// DeletedVM and Problem is set.
type Change struct {
	Revision uint64
	// ReadAt is when a daemon read the item from the store; zero for now.
	ReadAt time.Time
	Config *Config
	// Server is a valid registration.
	Server *Server
	// Deleted is the id of a registration that has vanished, and Last its last state
	// if that is known.
	Deleted   string
	LastState *Server
	// Invalid is the id of a registration that names no usable server.
	Invalid string
	// VM is the registration of a daemon, DeletedVM the address of one that has
	// vanished.
	VM        *VM
	DeletedVM netip.Addr
	// Problem tells why an item is not usable.
	Problem error
}

// Refusal reports a change that the builder did not take over as it is.
type Refusal struct {
	Revision uint64
	// Subject is the id of the server, or "config".
	Subject string
	Reason  string
}

// Reasons of a Refusal.
const (
	ReasonOldVersion = "older configuration version"
	ReasonCollision  = "cookie belongs to another server"
)

// Builder collects changes and builds directories. It is not safe for
// concurrent use.
type Builder struct {
	keep Retention
	// began is when the first configuration arrived.
	began    time.Time
	revision uint64
	config   *Config
	// routes belongs to config and is shared by the directories built from it: a
	// configuration has thousands of routes and changes rarely.
	routes  map[netip.AddrPort]*Route
	servers map[string]*Server
	vms     map[netip.Addr]*VM
	// lapsed are the pools of which the greater part has vanished: their missing
	// servers take flows.
	lapsed map[string]bool
}

// NewBuilder returns a Builder that knows nothing, with DefaultKeep.
func NewBuilder() *Builder { return NewBuilderWith(DefaultRetention) }

// NewBuilderWith returns a Builder that knows nothing.
func NewBuilderWith(k Retention) *Builder {
	return &Builder{keep: k, servers: map[string]*Server{}, vms: map[netip.Addr]*VM{}, lapsed: map[string]bool{}}
}

// Apply takes over changes that follow the present revision, which they bring
// up to the given one.
func (b *Builder) Apply(changes []Change, revision uint64, now time.Time) []Refusal {
	var refused []Refusal
	for _, c := range changes {
		if reason := b.apply(c, now); reason != "" {
			refused = append(refused, Refusal{Revision: c.Revision, Subject: c.subject(), Reason: reason})
		}
	}
	b.revision = max(b.revision, revision)
	b.noteLapses()
	return refused
}

// noteLapses finds the pools of which the greater part is missing. A pool stays
// lapsed until its last missing server is back or retired.
func (b *Builder) noteLapses() {
	present, missing := map[string]int{}, map[string]int{}
	for _, s := range b.servers {
		switch {
		case s.Draining, s.Retired:
		case s.MissingSince.IsZero():
			present[s.Pool]++
		default:
			missing[s.Pool]++
		}
	}
	for pool, n := range missing {
		if n > present[pool] {
			b.lapsed[pool] = true
		}
	}
	for pool := range b.lapsed {
		if missing[pool] == 0 {
			delete(b.lapsed, pool)
		}
	}
}

func (c Change) subject() string {
	switch {
	case c.Server != nil:
		return c.Server.Name
	case c.Invalid != "":
		return c.Invalid
	case c.Deleted != "":
		return c.Deleted
	}
	return "config"
}

// apply returns why a change was refused, or "".
func (b *Builder) apply(c Change, now time.Time) string {
	arrived := now
	if !c.ReadAt.IsZero() {
		now = c.ReadAt
	}
	switch {
	case c.Config != nil:
		if b.config != nil && c.Config.Version < b.config.Version {
			return ReasonOldVersion
		}
		b.use(c.Config, arrived)
	case c.Server != nil:
		return b.register(c.Server)
	case c.Deleted != "":
		b.vanish(c.Deleted, c.LastState, now)
	case c.Invalid != "":
		b.vanish(c.Invalid, nil, now)
		return c.Problem.Error()
	case c.VM != nil:
		b.vms[c.VM.Addr] = c.VM
	case c.DeletedVM.IsValid():
		delete(b.vms, c.DeletedVM)
	case c.Problem != nil:
		return c.Problem.Error()
	}
	return ""
}

func (b *Builder) use(c *Config, now time.Time) {
	if b.config == nil {
		b.began = now
	}
	b.config = c
	b.routes = make(map[netip.AddrPort]*Route, len(c.Routes))
	for i := range c.Routes {
		b.routes[c.Routes[i].Address] = &c.Routes[i]
	}
}

func (b *Builder) register(s *Server) string {
	b.servers[s.Name] = s
	for _, other := range b.servers {
		if other != s && other.Cookie == s.Cookie && !other.Retired {
			return ReasonCollision
		}
	}
	return ""
}

// vanish keeps the server for its open flows. One that did not drain has
// crashed, or its registration has lapsed with the store. last is used for a server
// that has vanished before this daemon started.
func (b *Builder) vanish(name string, last *Server, now time.Time) {
	old := b.servers[name]
	if old == nil {
		old = last
	}
	if old == nil || !old.MissingSince.IsZero() {
		return
	}
	gone := *old
	gone.MissingSince = now
	gone.Retired = old.Draining
	b.servers[name] = &gone
}

// Expire retires and forgets servers by their age. confirmed is when the directory
// was last known to be the newest: a server is only retired when the store has been
// seen without it for a third of the grace, so that a store which goes away again
// right after a lapse does not empty the pools. Expire reports whether something
// changed.
func (b *Builder) Expire(now, confirmed time.Time) bool {
	changed := false
	for name, s := range b.servers {
		switch age := now.Sub(s.MissingSince); {
		case s.MissingSince.IsZero():
		case age >= b.keep.Retired && s.Retired:
			delete(b.servers, name)
			changed = true
		case age >= b.keep.Missing && confirmed.Sub(s.MissingSince) >= b.keep.Missing/3 && !s.Retired:
			gone := *s
			gone.Retired = true
			b.servers[name] = &gone
			changed = true
		}
	}
	if changed {
		b.noteLapses()
	}
	return changed
}

// Revision returns the revision up to which all changes were applied.
func (b *Builder) Revision() uint64 { return b.revision }

// Ready reports whether a configuration is known.
func (b *Builder) Ready() bool { return b.config != nil }

// Build returns the present state.
func (b *Builder) Build() *Directory {
	d := &Directory{
		Revision:  b.revision,
		Config:    b.config,
		SettledAt: b.began.Add(b.keep.Missing),
		routes:    b.routes,
		pools:     map[string][]*Server{},
		byCookie:  make(map[Cookie]*Server, len(b.servers)),
		vms:       maps.Clone(b.vms),
	}
	missing := map[string][]*Server{}
	for _, s := range b.ordered() {
		if !s.Retired {
			d.servers++
		}
		if d.byCookie[s.Cookie] != nil {
			continue // the server that registered first keeps the cookie
		}
		d.byCookie[s.Cookie] = s
		switch {
		case s.Draining, s.Retired:
		case !s.MissingSince.IsZero():
			missing[s.Pool] = append(missing[s.Pool], s)
		default:
			d.pools[s.Pool] = append(d.pools[s.Pool], s)
		}
	}
	for pool, servers := range missing {
		if b.lapsed[pool] {
			d.pools[pool] = append(d.pools[pool], servers...)
		}
	}
	for _, servers := range d.pools {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.Name, b.Name) })
	}
	return d
}

// ordered returns the servers in the order in which they take cookies: present
// ones first, then by their first registration, which all daemons read alike.
func (b *Builder) ordered() []*Server {
	servers := make([]*Server, 0, len(b.servers))
	for _, s := range b.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(x, y *Server) int {
		if x.Retired != y.Retired {
			if x.Retired {
				return 1
			}
			return -1
		}
		if x.CreateRevision != y.CreateRevision {
			if x.CreateRevision < y.CreateRevision {
				return -1
			}
			return 1
		}
		return strings.Compare(x.Name, y.Name)
	})
	return servers
}
