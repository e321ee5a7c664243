package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Retention is how long servers are kept after their registrations have vanished.
type Retention struct {
	// Missing is the minimum time for which servers that vanished without draining
	// still take new flows, if more than half of their pool is missing. In that case
	// the registrations have expired with the store, and the few servers that
	// register again first could not carry the whole load. If fewer are missing,
	// they have most likely crashed and take no new flows.
	Missing time.Duration
	// Retired is how long a server without a registration is kept for the packets
	// of its open flows.
	Retired time.Duration
}

// reregisterGrace is the time allowed for servers to register again after their
// registrations have expired with the store. They do so within about 2 s of its
// return.
const reregisterGrace = 2300 * time.Millisecond

// RetentionFor returns the retention for two bounds: drain is the time within which
// a server that is gone must get no more new flows, flowLife the maximum lifetime of
// a flow. A fifth of drain is left for the change to reach all daemons.
func RetentionFor(drain, flowLife time.Duration) Retention {
	return Retention{Missing: min(reregisterGrace, drain*4/5), Retired: flowLife}
}

// DefaultRetention is the retention for the default bounds of 3 s and one minute.
var DefaultRetention = RetentionFor(3*time.Second, time.Minute)

// Change is a decoded item of a registry. It sets one of Config, Server, Deleted,
// Invalid, Evacuated, Returned, VM, DeletedVM and Problem; Problem is also set along with
// Invalid, and along with a Config of which a value had to be limited.
type Change struct {
	Revision uint64
	// ReadAt is when a daemon read the item from the store. Zero stands for the
	// time at which the change is applied.
	ReadAt time.Time
	Config *Config
	// Server is a valid registration.
	Server *Server
	// Deleted is the id of a server whose registration has vanished, and LastState
	// its last registration if that is known.
	Deleted   string
	LastState *Server
	// Lost is set if a restored store lacks the item.
	Lost bool
	// Invalid is the id of a server whose registration is not usable.
	Invalid string
	// Evacuated is an availability zone whose servers must get no new flows, Returned one
	// whose evacuation has ended.
	Evacuated, Returned string
	// VM is the registration of a daemon, DeletedVM the address of a daemon whose
	// registration has vanished.
	VM        *VM
	DeletedVM netip.Addr
	// Problem is why the item is not usable.
	Problem error
}

// Refusal reports a change that was rejected, or accepted only in part.
type Refusal struct {
	Revision uint64
	// Subject is the id of the server or the zone, or "config" for a change without one.
	Subject string
	Reason  string
}

// Reasons of a Refusal.
const (
	ReasonOldVersion = "older configuration version"
	ReasonCollision  = "cookie belongs to another server"
	// ReasonTooManyEvacuations means that maxEvacuations other zones are evacuated.
	ReasonTooManyEvacuations = "too many evacuated zones"
)

// Builder applies changes and builds directories from them. It is not safe for
// concurrent use.
type Builder struct {
	retention Retention
	// firstConfigAt is when the first configuration was applied.
	firstConfigAt time.Time
	position      Position
	config        *Config
	// routes is derived from config. All directories with the same configuration
	// share it, since it can have thousands of entries and changes rarely.
	routes  map[netip.AddrPort]*Route
	servers map[string]*Server
	// cookieUsers holds the names of the servers with each cookie, mostly one.
	cookieUsers map[Cookie][]string
	vms         map[netip.Addr]*VM
	evacuations map[string]*Evacuation // by zone
	// expiredPools are the pools of which more than half was missing at once. Their
	// missing servers take new flows.
	expiredPools map[string]bool
}

// NewBuilder returns an empty Builder with DefaultRetention.
func NewBuilder() *Builder { return NewBuilderWith(DefaultRetention) }

// NewBuilderWith returns an empty Builder with retention r.
func NewBuilderWith(r Retention) *Builder {
	return &Builder{
		retention: r, servers: map[string]*Server{}, cookieUsers: map[Cookie][]string{},
		vms: map[netip.Addr]*VM{}, evacuations: map[string]*Evacuation{}, expiredPools: map[string]bool{},
	}
}

// Apply applies changes in order and sets the builder's position, unless that is later
// already. It returns the changes that were refused.
func (b *Builder) Apply(changes []Change, position Position, now time.Time) []Refusal {
	var refused []Refusal
	for _, c := range changes {
		if reason := b.apply(c, position.Era, now); reason != "" {
			refused = append(refused, Refusal{Revision: c.Revision, Subject: c.subject(), Reason: reason})
		}
	}
	if position.IsAfter(b.position) {
		b.position = position
	}
	refused = append(refused, b.limitEvacuations()...)
	b.updateExpiredPools()
	return refused
}

// updateExpiredPools adds the pools of which more than half is missing. A pool is
// removed again when its last missing server is back or retired. Servers of evacuated zones
// do not count: the rest has to carry the load without them, and many may be shut down on
// purpose.
func (b *Builder) updateExpiredPools() {
	present, missing := map[string]int{}, map[string]int{}
	for _, s := range b.servers {
		switch {
		case s.Draining, s.Retired, b.evacuations[s.Zone] != nil:
		case s.MissingSince.IsZero():
			present[s.Pool]++
		default:
			missing[s.Pool]++
		}
	}
	for pool, n := range missing {
		if n > present[pool] {
			b.expiredPools[pool] = true
		}
	}
	for pool := range b.expiredPools {
		if missing[pool] == 0 {
			delete(b.expiredPools, pool)
		}
	}
}

// subject returns the id of the server that a change concerns, or "config" if it
// concerns none.
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

// apply applies one change. A server without a usable registration counts as missing
// since the change's ReadAt if that is set, otherwise since now. apply returns the
// reason if the change is refused, or "". The change was read in an era of the store.
func (b *Builder) apply(c Change, era uint64, now time.Time) string {
	receivedAt := now
	if !c.ReadAt.IsZero() {
		now = c.ReadAt
	}
	switch {
	case c.Config != nil:
		if b.config != nil && c.Config.Version < b.config.Version {
			return ReasonOldVersion
		}
		b.setConfig(c.Config, receivedAt)
		if c.Problem != nil {
			return c.Problem.Error()
		}
	case c.Server != nil:
		return b.register(c.Server)
	case c.Deleted != "":
		b.markMissing(c.Deleted, c.LastState, c.Lost, now)
	case c.Invalid != "":
		b.markMissing(c.Invalid, nil, false, now)
		return c.Problem.Error()
	case c.Evacuated != "":
		b.evacuate(Evacuation{Zone: c.Evacuated, Position: Position{Era: era, Revision: c.Revision}, Since: now, Lost: c.Lost})
	case c.Returned != "":
		delete(b.evacuations, c.Returned)
	case c.VM != nil:
		b.vms[c.VM.Addr] = c.VM
	case c.DeletedVM.IsValid():
		delete(b.vms, c.DeletedVM)
	case c.Problem != nil:
		return c.Problem.Error()
	}
	return ""
}

// setConfig replaces the configuration and its routes.
func (b *Builder) setConfig(c *Config, now time.Time) {
	if b.config == nil {
		b.firstConfigAt = now
	}
	b.config = c
	b.routes = make(map[netip.AddrPort]*Route, len(c.Routes))
	for i := range c.Routes {
		b.routes[c.Routes[i].Address] = &c.Routes[i]
	}
}

// register adds or replaces a server. It returns ReasonCollision if another server
// has the same cookie; Build then gives the cookie to one of them.
func (b *Builder) register(s *Server) string {
	b.addServer(s)
	for _, name := range b.cookieUsers[s.Cookie] {
		if other := b.servers[name]; other != s && !other.Retired {
			return ReasonCollision
		}
	}
	return ""
}

// addServer adds or replaces a server. The cookie follows from the id and does not change.
func (b *Builder) addServer(s *Server) {
	if b.servers[s.Name] == nil {
		b.cookieUsers[s.Cookie] = append(b.cookieUsers[s.Cookie], s.Name)
	}
	b.servers[s.Name] = s
}

func (b *Builder) deleteServer(s *Server) {
	delete(b.servers, s.Name)
	users := slices.DeleteFunc(b.cookieUsers[s.Cookie], func(name string) bool { return name == s.Name })
	if len(users) == 0 {
		delete(b.cookieUsers, s.Cookie)
		return
	}
	b.cookieUsers[s.Cookie] = users
}

// markMissing handles a registration that has vanished. The server is kept for its
// open flows; it is retired at once if it was draining, otherwise it has crashed or
// its registration has expired with the store or was lost by a restore. lastState is used
// for a server that vanished before this daemon started.
func (b *Builder) markMissing(name string, lastState *Server, lost bool, now time.Time) {
	old := b.servers[name]
	if old == nil {
		old = lastState
	}
	if old == nil || !old.MissingSince.IsZero() {
		return
	}
	missing := *old
	missing.MissingSince, missing.LostByRestore = now, lost
	missing.Retired = old.Draining
	b.addServer(&missing)
}

// Expire retires missing servers and deletes retired ones when their time is up. It
// reports whether anything changed. confirmed is when the directory was last known
// to be up to date. A server is retired only if the store has been read without its
// registration for at least a third of the missing time, so that a store that fails
// again right after all registrations have expired does not empty the pools.
func (b *Builder) Expire(now, confirmed time.Time) bool {
	changed := false
	for name, s := range b.servers {
		switch age := now.Sub(s.MissingSince); {
		case s.MissingSince.IsZero():
		case age >= b.retention.Retired && s.Retired:
			b.deleteServer(s)
			changed = true
		case age >= b.retention.Missing && confirmed.Sub(s.MissingSince) >= b.retention.Missing/3 && !s.Retired:
			retired := *s
			retired.Retired = true
			b.servers[name] = &retired
			changed = true
		}
	}
	if changed {
		b.updateExpiredPools()
	}
	return changed
}

// Ready reports whether a configuration was applied.
func (b *Builder) Ready() bool { return b.config != nil }

// Build returns a directory of the current state.
func (b *Builder) Build() *Directory {
	d := &Directory{
		Position:  b.position,
		Config:    b.config,
		SettledAt: b.firstConfigAt.Add(b.retention.Missing),
		routes:    b.routes,
		pools:     map[string][]*Server{},
		byCookie:  make(map[Cookie]*Server, len(b.servers)),
		vms:       maps.Clone(b.vms),
	}
	d.evacuations, d.evacuatedPools = maps.Clone(b.evacuations), map[string]bool{}
	missing := map[string][]*Server{}
	for _, s := range b.serversByPriority() {
		if !s.Retired {
			d.servers++
		}
		if d.byCookie[s.Cookie] != nil {
			continue // the server with the higher priority has the cookie
		}
		d.byCookie[s.Cookie] = s
		switch expired := !s.MissingSince.IsZero() && !s.LostByRestore; {
		case s.Draining, s.Retired:
		case b.evacuations[s.Zone] != nil:
			d.evacuatedPools[s.Pool] = d.evacuatedPools[s.Pool] || !expired
		case expired:
			missing[s.Pool] = append(missing[s.Pool], s)
		default:
			d.pools[s.Pool] = append(d.pools[s.Pool], s)
		}
	}
	for pool, servers := range missing {
		if b.expiredPools[pool] {
			d.pools[pool] = append(d.pools[pool], servers...)
		}
	}
	for _, servers := range d.pools {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.Name, b.Name) })
	}
	return d
}

// serversByPriority returns the servers in the order in which they claim cookies, which is
// the same for all daemons: retired ones last, then by the start of their processes, which
// does not change when a registration expires and comes back. The creation of the
// registration decides only between servers that do not state their start.
func (b *Builder) serversByPriority() []*Server {
	servers := make([]*Server, 0, len(b.servers))
	for _, s := range b.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, compareClaims)
	return servers
}

// compareClaims orders x before y if its claim to a cookie that both have comes first.
func compareClaims(x, y *Server) int {
	switch {
	case x.Retired != y.Retired:
		return falseFirst(x.Retired)
	case (x.Started == 0) != (y.Started == 0):
		return falseFirst(x.Started == 0)
	case x.Started != y.Started:
		return cmp.Compare(x.Started, y.Started)
	case x.Started == 0 && x.CreateRevision != y.CreateRevision:
		return cmp.Compare(x.CreateRevision, y.CreateRevision)
	}
	return strings.Compare(x.Name, y.Name)
}

// falseFirst returns the order of x and another value for which the condition differs.
func falseFirst(x bool) int {
	if x {
		return 1
	}
	return -1
}
