package tablesync

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
)

const (
	// maxQueuedOffers limits the changes that wait to be applied. If one is dropped, the
	// next heartbeat shows that this daemon is behind.
	maxQueuedOffers = 64
	// followInterval is the interval at which this daemon checks whether it is behind
	// its peers.
	followInterval = 100 * time.Millisecond
	// fetchDelay is how long a newer version must be known before it is fetched. Most
	// changes arrive by flooding within that time. A daemon without tables does not
	// wait.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout is the timeout of one fetch. Three in a row fit into the 5 s within
	// which a change must be in force.
	fetchTimeout = time.Second
	// oldTablesAge is the age above which a warning is logged. Tables in a healthy region
	// do not get nearly as old.
	oldTablesAge = time.Minute
	// maxAge limits the age that a peer reports, so that it cannot overflow.
	maxAge = 10 * 365 * 24 * time.Hour
)

// pendingFetch is a newer version to be fetched from a peer.
type pendingFetch struct {
	peer    member.Name
	version tables.Version
	since   time.Time // when the version became known
}

// Offer queues a change that a peer flooded. It does not block.
func (s *Syncer) Offer(from member.Name, version tables.Version, delta []byte) {
	if version <= s.Version() {
		if version < s.Version() {
			s.cfg.Metrics.Refused(metrics.StaleTables)
		}
		return
	}
	select {
	case s.offers <- offer{from, version, delta}:
	default:
		s.scheduleFetch(from, version, time.Now())
	}
}

// ObserveVersion handles the version and its age in a peer's heartbeat. It schedules a
// fetch if the peer's version is newer, and confirms the version in force if it is the
// same.
func (s *Syncer) ObserveVersion(from member.Name, version tables.Version, age time.Duration) {
	now := time.Now()
	if version > s.Version() {
		s.scheduleFetch(from, version, now)
		return
	}
	s.confirm(version, now.Add(-min(age, maxAge)))
}

// scheduleFetch schedules a fetch from a peer unless one of the same or a higher version
// is pending.
func (s *Syncer) scheduleFetch(from member.Name, version tables.Version, now time.Time) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if version > s.pending.version {
		s.pending = pendingFetch{from, version, now}
	}
}

// followPeers applies offered changes and fetches missed ones until ctx ends.
func (s *Syncer) followPeers(ctx context.Context, peers Peers) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	logged := false
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.offers:
			s.handleOffer(ctx, o, peers)
		case <-ticker.C:
			if from, ok := s.nextFetch(time.Now()); ok {
				s.catchUp(ctx, from, peers)
			}
			logged = s.logIfOld(logged)
		}
	}
}

// nextFetch returns the peer to fetch from now, if any, and clears the pending fetch. If
// the fetch fails, the next heartbeat of a peer that is ahead schedules another one.
func (s *Syncer) nextFetch(now time.Time) (member.Name, bool) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	have := s.Version()
	if s.pending.version <= have {
		s.pending = pendingFetch{}
		return "", false
	}
	if have > 0 && now.Sub(s.pending.since) < fetchDelay {
		return "", false
	}
	from := s.pending.peer
	s.pending = pendingFetch{}
	return from, true
}

// handleOffer applies an offered change. If the change does not apply or earlier ones
// are missing, it fetches from the peer.
func (s *Syncer) handleOffer(ctx context.Context, o offer, peers Peers) {
	if o.version <= s.Version() {
		return
	}
	d, err := tables.DecodeDelta(o.delta)
	if err == nil && d.Version != o.version {
		err = errors.Errorf("change %d is announced as version %d", d.Version, o.version)
	}
	if err != nil {
		s.cfg.Metrics.Refused(metrics.Malformed)
		s.logInvalid(err, string(o.from))
		return
	}
	switch err := s.apply([]tables.Delta{d}, o.from, peers); {
	case errors.Is(err, errGap):
		s.catchUp(ctx, o.from, peers)
	case err != nil:
		s.logInvalid(err, string(o.from))
		s.catchUp(ctx, o.from, peers)
	}
}

// catchUp fetches from a peer and logs a failure.
func (s *Syncer) catchUp(ctx context.Context, from member.Name, peers Peers) {
	if s.Version() > 0 {
		s.cfg.Metrics.Retried(metrics.TablesGap)
	}
	if err := s.fetch(ctx, from, peers); err != nil && ctx.Err() == nil {
		s.cfg.Events.Log(events.FetchFailed, zap.String("peer", string(from)), zap.Error(err))
	}
}

// logInvalid logs tables or changes that cannot be used.
func (s *Syncer) logInvalid(err error, source string) {
	s.cfg.Events.Log(events.TablesInvalid, zap.String("source", source), zap.Error(err))
}

// logIfOld logs once when the tables exceed oldTablesAge, and returns whether they do.
// The result is passed back as logged in the next call.
func (s *Syncer) logIfOld(logged bool) bool {
	old := s.Age() > oldTablesAge
	if old && !logged {
		s.cfg.Events.Log(events.TablesUnconfirmed, zap.Duration("age", s.Age()),
			zap.Uint64("version", uint64(s.Version())))
	}
	return old
}
