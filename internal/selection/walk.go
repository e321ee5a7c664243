package selection

import "knapweedshore.example/internal/tables"

// walk is one decision over the servers of a pool.
type walk struct {
	request Request
	now     instant
	share   float64
	pool    *pool

	// usable and full count servers; flows (the working ones), capacity and
	// weight sum the usable ones.
	usable, full            int
	flows, capacity, weight float64
}

// status tells whether a server takes a new flow.
type status int

const (
	unusable status = iota
	full
	usable
)

func (w *walk) status(s *tables.Server, rec *server) status {
	switch {
	case s.State != tables.Active, rec.ejected(w.now):
		return unusable
	case rec.flows >= limitShare(s.Connections, w.share):
		return full
	}
	return usable
}

// limitShare returns this owner's part of a connection limit, at least 1.
func limitShare(connections uint32, share float64) int {
	return max(1, int(float64(connections)*share))
}

// survey finds the loads that the bounds are relative to.
func (w *walk) survey() {
	w.pool.tune(w.now)
	for i, rec := range w.pool.servers {
		s := &w.pool.table.Servers[i]
		switch w.status(s, rec) {
		case usable:
			w.usable++
			w.flows += float64(rec.working)
			w.capacity += rec.capacity(s, w.now)
			w.weight += rec.weight(s, w.now)
		case full:
			w.full++
		}
	}
}

// choose returns the best usable server. Rendezvous scores are compared and not
// sorted: the first server in the order that is within the bounds is the one
// with the highest score among those within the bounds. It reports false when
// the request avoids every usable server.
func (w *walk) choose() (Choice, bool) {
	var fallback, best, least candidate
	fallbackUsable := false
	for i, rec := range w.pool.servers {
		s := &w.pool.table.Servers[i]
		if s.State != tables.Active {
			continue
		}
		score := float64(s.Weight) * draw(w.request.Key, s.ID)
		takes := w.status(s, rec) == usable
		if fallback.precededBy(s, score) {
			fallback = candidate{server: s, score: score}
			fallbackUsable = takes
		}
		if !takes {
			continue
		}
		next := candidate{s, score * rec.correction * rec.warmth(w.now), float64(rec.working) / rec.capacity(s, w.now)}
		better := best.precededBy(s, next.score) && w.withinBounds(s, rec)
		lower := next.lessLoaded(least)
		// Avoid is costly, and few servers get this far.
		if !better && !lower || w.avoids(s) {
			continue
		}
		if better {
			best = next
		}
		if lower {
			least = next
		}
	}
	switch {
	case w.request.DefaultOnly && fallbackUsable && !w.avoids(fallback.server):
		best = fallback
	case best.server == nil:
		best = least
	}
	return Choice{Server: best.server, Default: best.server == fallback.server}, best.server != nil
}

func (w *walk) avoids(s *tables.Server) bool {
	return w.request.Avoid != nil && w.request.Avoid(s)
}

// withinBounds bounds the working flows and the busy time. The bound of working
// flows is the server's part of the slots or of the corrected weights, whichever is
// higher, because flows that have ended unnoticed follow the weights.
func (w *walk) withinBounds(s *tables.Server, rec *server) bool {
	part := max(rec.capacity(s, w.now)/w.capacity, rec.weight(s, w.now)/w.weight)
	if float64(rec.working) > part*(FlowBoundFactor*w.flows+float64(w.usable)) {
		return false
	}
	return rec.utilisation <= BusyBoundFactor*max(0, w.pool.utilisation)*rec.warmth(w.now)
}

// candidate is the best server found so far, if any.
type candidate struct {
	server *tables.Server
	score  float64
	load   float64
}

func (c candidate) precededBy(s *tables.Server, score float64) bool {
	return c.server == nil || precedes(score, s.ID, c.score, c.server.ID)
}

// lessLoaded breaks ties by the score, not by the order of the servers.
func (c candidate) lessLoaded(other candidate) bool {
	if other.server == nil || c.load != other.load {
		return other.server == nil || c.load < other.load
	}
	return other.precededBy(c.server, c.score)
}
