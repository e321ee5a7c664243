package selection

import "knapweedshore.example/internal/tables"

// walker chooses the server for one request by walking over the servers of the
// pool.
type walker struct {
	request Request
	now     instant
	share   float64
	pool    *pool

	// usable and full count the servers with this status. flows, capacity and
	// weight are the sums of working flows, capacities and effective weights over
	// the usable servers.
	usable, full            int
	flows, capacity, weight float64
}

// status tells whether a server can get a new flow.
type status int

const (
	unusable status = iota
	full
	usable
)

func (w *walker) status(s *tables.Server, rec *server) status {
	switch {
	case s.State != tables.Active, rec.ejected(w.now):
		return unusable
	case rec.flows >= limitShare(s.Connections, w.share):
		return full
	}
	return usable
}

// limitShare returns this owner's share of a server's connection limit. It is at
// least 1, so that an owner of few slots can use every server.
func limitShare(connections uint32, share float64) int {
	return max(1, int(float64(connections)*share))
}

// sumLoads tunes the corrections of the pool if that is due, counts the servers by
// status, and sums the loads that the bounds are relative to.
func (w *walker) sumLoads() {
	w.pool.tune(w.now)
	for i, rec := range w.pool.servers {
		s := &w.pool.table.Servers[i]
		switch w.status(s, rec) {
		case usable:
			w.usable++
			w.flows += float64(rec.working)
			w.capacity += rec.capacity(s, w.now)
			w.weight += rec.effectiveWeight(s, w.now)
		case full:
			w.full++
		}
	}
}

// choose returns the best usable server, or false if the request avoids all of
// them. It needs no sorting: the first server of the rendezvous order that is
// within the bounds is the one with the highest score of those within the bounds.
func (w *walker) choose() (Choice, bool) {
	var defaultCandidate, best, leastLoaded candidate
	defaultUsable := false
	for i, rec := range w.pool.servers {
		s := &w.pool.table.Servers[i]
		if s.State != tables.Active {
			continue
		}
		score := float64(s.Weight) * rendezvousScore(w.request.Key, s.ID)
		isUsable := w.status(s, rec) == usable
		if defaultCandidate.outrankedBy(s, score) {
			defaultCandidate = candidate{server: s, score: score}
			defaultUsable = isUsable
		}
		if !isUsable {
			continue
		}
		current := candidate{s, score * rec.correction * rec.slowStartFactor(w.now), float64(rec.working) / rec.capacity(s, w.now)}
		isBest := best.outrankedBy(s, current.score) && w.withinBounds(s, rec)
		isLeastLoaded := current.lessLoaded(leastLoaded)
		// Avoid is expensive, so it is called only for servers that would be chosen.
		if !isBest && !isLeastLoaded || w.avoids(s) {
			continue
		}
		if isBest {
			best = current
		}
		if isLeastLoaded {
			leastLoaded = current
		}
	}
	switch {
	case w.request.DefaultOnly && defaultUsable && !w.avoids(defaultCandidate.server):
		best = defaultCandidate
	case best.server == nil:
		best = leastLoaded
	}
	return Choice{Server: best.server, Default: best.server == defaultCandidate.server}, best.server != nil
}

func (w *walker) avoids(s *tables.Server) bool {
	return w.request.Avoid != nil && w.request.Avoid(s)
}

// withinBounds reports whether the working flows and the utilisation of a server
// are within their bounds. The bound on working flows is relative to the server's
// share of the capacity or of the effective weight, whichever is higher, because
// flows whose end has not been noticed yet still count and are distributed by
// weight.
func (w *walker) withinBounds(s *tables.Server, rec *server) bool {
	fraction := max(rec.capacity(s, w.now)/w.capacity, rec.effectiveWeight(s, w.now)/w.weight)
	if float64(rec.working) > fraction*(FlowBoundFactor*w.flows+float64(w.usable)) {
		return false
	}
	return rec.utilisation <= BusyBoundFactor*max(0, w.pool.utilisation)*rec.slowStartFactor(w.now)
}

// candidate is a server with its score and load. The zero value stands for none.
type candidate struct {
	server *tables.Server
	score  float64
	load   float64
}

func (c candidate) outrankedBy(s *tables.Server, score float64) bool {
	return c.server == nil || outranks(score, s.ID, c.score, c.server.ID)
}

// lessLoaded reports whether c has a lower load than other. Ties are broken by
// score and not by the order of the servers in the pool.
func (c candidate) lessLoaded(other candidate) bool {
	if other.server == nil || c.load != other.load {
		return other.server == nil || c.load < other.load
	}
	return other.outrankedBy(c.server, c.score)
}
