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
	// offerQueue bounds the changes that wait to be applied. A dropped one is
	// noticed by the next heartbeat.
	offerQueue = 64
	// followInterval is the period in which this daemon looks whether it is
	// behind its peers.
	followInterval = 100 * time.Millisecond
	// fetchDelay lets a change that is under way arrive before it is fetched.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout bounds one fetch, so that two failed ones and a third still
	// fit the 5 s within which a change must be in force.
	fetchTimeout = time.Second
	// oldAge is the age of the tables that is reported once: several times
	// what a healthy region reaches.
	oldAge = time.Minute
	// maxAge keeps a peer's claim within a time.Duration.
	maxAge = 10 * 365 * 24 * time.Hour
)

// lead is a peer that has a newer version.
type lead struct {
	peer    member.Name
	version tables.Version
	since   time.Time
}

// Offer hands over a change that a peer flooded. It does not block.
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
		s.follow(from, version, time.Now())
	}
}

// Heard notes the version and its age in a peer's heartbeat.
func (s *Syncer) Heard(from member.Name, version tables.Version, age time.Duration) {
	now := time.Now()
	if version > s.Version() {
		s.follow(from, version, now)
		return
	}
	s.confirm(version, now.Add(-min(age, maxAge)))
}

// follow notes a peer to fetch from, unless one with the same version is noted.
func (s *Syncer) follow(from member.Name, version tables.Version, now time.Time) {
	s.state.Lock()
	defer s.state.Unlock()
	if version > s.lead.version {
		s.lead = lead{from, version, now}
	}
}

// followPeers applies offers, and fetches what it missed.
func (s *Syncer) followPeers(ctx context.Context, peers Peers) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	reported := false
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.offers:
			s.takeOffer(ctx, o, peers)
		case <-ticker.C:
			if from, ok := s.takeLead(time.Now()); ok {
				s.catchUp(ctx, from, peers)
			}
			reported = s.reportOld(reported)
		}
	}
}

// takeLead returns the peer to fetch from now. The lead is cleared: if the
// fetch fails, the next heartbeat of any newer peer sets it again.
func (s *Syncer) takeLead(now time.Time) (member.Name, bool) {
	s.state.Lock()
	defer s.state.Unlock()
	have := s.Version()
	if s.lead.version <= have {
		s.lead = lead{}
		return "", false
	}
	if have > 0 && now.Sub(s.lead.since) < fetchDelay {
		return "", false
	}
	from := s.lead.peer
	s.lead = lead{}
	return from, true
}

func (s *Syncer) takeOffer(ctx context.Context, o offer, peers Peers) {
	if o.version <= s.Version() {
		return
	}
	d, err := tables.DecodeDelta(o.delta)
	if err == nil && d.Version != o.version {
		err = errors.Errorf("change %d is announced as version %d", d.Version, o.version)
	}
	if err != nil {
		s.cfg.Metrics.Refused(metrics.Malformed)
		s.reportInvalid(err, string(o.from))
		return
	}
	switch err := s.apply([]tables.Delta{d}, o.from, peers); {
	case errors.Is(err, errGap):
		s.catchUp(ctx, o.from, peers)
	case err != nil:
		s.reportInvalid(err, string(o.from))
		s.catchUp(ctx, o.from, peers)
	}
}

// catchUp fetches from one peer.
func (s *Syncer) catchUp(ctx context.Context, from member.Name, peers Peers) {
	if s.Version() > 0 {
		s.cfg.Metrics.Retried(metrics.TablesGap)
	}
	if err := s.fetch(ctx, from, peers); err != nil && ctx.Err() == nil {
		s.cfg.Events.Log(events.FetchFailed, zap.String("peer", string(from)), zap.Error(err))
	}
}

func (s *Syncer) reportInvalid(err error, source string) {
	s.cfg.Events.Log(events.TablesInvalid, zap.String("source", source), zap.Error(err))
}

// reportOld logs once when the tables become old.
func (s *Syncer) reportOld(reported bool) bool {
	old := s.Age() > oldAge
	if old && !reported {
		s.cfg.Events.Log(events.TablesOld, zap.Duration("age", s.Age()),
			zap.Uint64("version", uint64(s.Version())))
	}
	return old
}
