package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

// Parameters of the comparison of servers.
const (
	// judgeInterval is the time between two comparisons of the servers of a pool.
	judgeInterval = 200 * time.Millisecond
	// minOutcomes and minFailed are the requests, and the failed ones among them, below
	// which a server is not judged.
	minOutcomes, minFailed = 6.0, 2.5
	// minExcess is the least share of failed requests above the pool's share that matters.
	minExcess = 0.1
	// outlierDeviations is the number of standard deviations between a failing server and
	// its pool.
	outlierDeviations = 3.0
	// recentDeviations is the number of standard deviations by which the share of recent
	// failures has to be above the share of all.
	recentDeviations = 0.5
	// ordinaryFailures and ordinaryRequests are assumed in each pool, so that a few
	// requests do not make a norm.
	ordinaryFailures, ordinaryRequests = 0.02, 1.0
	// minPoolRequests is assumed where a daemon has sent fewer requests to the other servers:
	// one that prefers a failing server must notice it all the same.
	minPoolRequests = 8.0
	// minUsed is the number of own requests from which on a server counts for the norm.
	minUsed = 0.25
	// maxFailingShare is the greatest part of a pool that can be failing at a time.
	maxFailingShare = 0.3
	// initialHold is how long a server counts as failing before it is on probation. The
	// time doubles up to maxHold each time that it fails on probation.
	initialHold = 2500 * time.Millisecond
	maxHold     = 5 * time.Second
	// reportTime is how long it takes until all daemons of a zone have told what they see of
	// a server that has begun to fail.
	reportTime = 1500 * time.Millisecond
	// probationStep is the time in which the flows of a server on probation double, and
	// maxProbation how long a probation lasts if hardly any request shows its result.
	probationStep = 1250 * time.Millisecond
	maxProbation  = 8 * probationStep
	// minRecoveryOutcomes is the number of requests that show a recovery, and
	// minProbationFailed that of failed ones that end a probation.
	minRecoveryOutcomes, minProbationFailed = 5.0, 1.5
	// failingTrialShare and probationTrialShare are the parts of its usual flows that a
	// server gets while it is failing and when its probation begins. Flows that must not be
	// repeated are a quarter of them.
	failingTrialShare, probationTrialShare = 0.05, 0.125
	unsafeTrialFactor                      = 0.25
	// maxFailingPenalty keeps a failing server before those that do not answer at all.
	maxFailingPenalty = suspicionPenalty / 2
	// defaultRouteTimeout is assumed for routes that set no timeout.
	defaultRouteTimeout = 2 * time.Second
)

// OutcomeSource tells how requests have ended on the servers.
type OutcomeSource interface {
	// Witnessed returns what the daemons of the zone have seen of a server.
	Witnessed(c directory.Cookie, now time.Time) evidence.Witnessed
	// Daemons returns the number of daemons in the zone.
	Daemons(now time.Time) int
	// Watch sets whether daemons have to tell each other what they see of a server.
	Watch(c directory.Cookie, watched bool)
	// Forget drops what is known of a server whose process has been replaced.
	Forget(c directory.Cookie, now time.Time)
}

// OutlierChange reports that a server starts or ceases to count as failing.
type OutlierChange struct {
	Server  directory.Cookie
	Failing bool
	// Share is the share of the server's requests that failed, and PoolShare that of the
	// other servers of its pool. Both are zero when Failing ends.
	Share, PoolShare float64
	// Requests is the decayed number of requests that Share is of.
	Requests float64
	// Omitted is the number of servers of the pool that fail as well but are beyond the
	// share of a pool that can be failing.
	Omitted int
}

// outliers finds servers that fail requests far more often than the others of their pool.
// It answers the load of a pool of which some servers fail part of their requests while
// they accept flows and look well: such a server costs callers the time of another try,
// and the whole request where it must not be repeated.
type outliers struct {
	source   OutcomeSource
	onChange func(OutlierChange)
	judgedAt map[string]time.Time
	failing  map[directory.Cookie]*failingServer
	// started identifies the processes that the results are of.
	started map[directory.Cookie]int64
}

// failingServer is the state of a server that fails requests, or did until recently.
type failingServer struct {
	// share is the share of failed requests, and excess the part of it above that of the pool.
	share, excess float64
	// hold is the length of the last hold and until its end. Then the server is on
	// probation.
	hold      time.Duration
	until     time.Time
	probation bool
	// before are the sums as of since. What has come later decides about the server.
	before evidence.Sums
	since  time.Time
}

// trialShare returns the part of its usual flows that the server gets.
func (f *failingServer) trialShare(now time.Time) float64 {
	if !f.probation {
		return failingTrialShare
	}
	return min(1, probationTrialShare*math.Exp2(float64(now.Sub(f.until))/float64(probationStep)))
}

func newOutliers() *outliers {
	return &outliers{
		onChange: func(OutlierChange) {}, judgedAt: map[string]time.Time{}, failing: map[directory.Cookie]*failingServer{},
		started: map[directory.Cookie]int64{},
	}
}

// candidate is a server in a comparison.
type candidate struct {
	server *directory.Server
	seen   evidence.Witnessed
	// share is the share of failed requests of requests, and poolShare that of the other
	// servers of the pool.
	share, requests, poolShare float64
}

// judge compares the candidates, which are of one pool, unless it has done so recently.
func (o *outliers) judge(servers []*directory.Server, now time.Time) {
	if o.source == nil || len(servers) == 0 || now.Sub(o.judgedAt[servers[0].Pool]) < judgeInterval {
		return
	}
	o.judgedAt[servers[0].Pool] = now
	candidates := make([]candidate, len(servers))
	for i, s := range servers {
		o.forgetRestarted(s, now)
		candidates[i] = candidate{server: s, seen: o.source.Witnessed(s.Cookie, now)}
	}
	norm := o.norm(candidates, now)
	failing := 0
	var suspects []candidate
	for _, c := range candidates {
		if f := o.failing[c.server.Cookie]; f != nil {
			o.follow(&c, f, &norm, now)
		} else if norm.exceededBy(&c) {
			suspects = append(suspects, c)
		}
		if o.failing[c.server.Cookie] != nil {
			failing++
		}
	}
	slices.SortFunc(suspects, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.server.Cookie, b.server.Cookie))
	})
	room := max(0, int(maxFailingShare*float64(len(servers)))-failing)
	for _, c := range suspects[:min(room, len(suspects))] {
		o.begin(c, max(0, len(suspects)-room), now)
	}
}

// forgetRestarted drops what is known of a server if its process has been replaced.
func (o *outliers) forgetRestarted(s *directory.Server, now time.Time) {
	started, known := o.started[s.Cookie]
	if known && started != s.Started {
		o.source.Forget(s.Cookie, now)
		if o.failing[s.Cookie] != nil {
			o.end(s.Cookie)
		}
	}
	o.started[s.Cookie] = s.Started
}

// norm is what is usual for the servers of a pool. It is taken from this daemon's own
// requests alone: peers report only the servers that fail most. The recent requests count on
// their own if clearly more of them failed, since in a fault of all servers the failures of the
// first ones would stand out from what the others did before.
type norm struct {
	own, recent usual
	// daemons is the number of daemons in the zone.
	daemons int
}

// usual is the sum of the requests of a pool's servers.
type usual struct {
	failed, total float64
	// mean is the mean number of requests of a server. No server counts for more, since one
	// that fails at once may get most of them.
	mean float64
}

func newUsual(servers []evidence.Sums) usual {
	u := usual{failed: ordinaryFailures, total: ordinaryRequests}
	for _, s := range servers {
		u.mean += s.Total() / float64(len(servers))
	}
	for _, s := range servers {
		failed, total := u.part(s)
		u.failed += failed
		u.total += total
	}
	return u
}

// part returns what a server contributes.
func (u *usual) part(s evidence.Sums) (failed, total float64) {
	n := s.Total()
	if n < minUsed {
		return 0, 0
	}
	total = min(n, u.mean)
	return s.Failed / n * total, total
}

// without returns the share of failed requests on the other servers and their number.
func (u *usual) without(s evidence.Sums) (share, requests float64) {
	failed, total := u.part(s)
	requests = max(ordinaryRequests, u.total-total)
	return max(0, u.failed-failed) / requests, requests
}

func (o *outliers) norm(candidates []candidate, now time.Time) norm {
	var own, recent []evidence.Sums
	for _, c := range candidates {
		if c.seen.Own.Total() >= minUsed {
			own = append(own, c.seen.Own)
		}
		if c.seen.Recent.Total() >= minUsed {
			recent = append(recent, c.seen.Recent)
		}
	}
	return norm{newUsual(own), newUsual(recent), o.source.Daemons(now)}
}

// others returns the share of failed requests on the other servers and their number.
func (n *norm) others(c *candidate) (share, requests float64) {
	share, requests = n.own.without(c.seen.Own)
	recentShare, recent := n.recent.without(c.seen.Recent)
	if recentShare-recentDeviations*math.Sqrt(recentShare*(1-recentShare)/recent) > share {
		return recentShare, recent
	}
	return share, requests
}

// exceededBy reports whether a server fails far more requests than the norm, and sets its
// shares. Daemons that have seen no failure report late; until they do, the server is assumed
// to have got the usual requests from them.
func (n *norm) exceededBy(c *candidate) bool {
	poolShare, poolRequests := n.others(c)
	failed, requests := c.seen.Failed, c.seen.Total()+float64(max(0, n.daemons-c.seen.Reporters))*n.own.mean
	if requests < minOutcomes || failed < minFailed {
		return false
	}
	c.share, c.poolShare, c.requests = failed/requests, poolShare, requests
	return c.share >= outlierShare(poolShare, poolRequests, requests)
}

// outlierShare returns the share of failed requests from which on a server with a number of
// requests stands out from a pool.
func outlierShare(poolShare, poolRequests, requests float64) float64 {
	deviation := math.Sqrt(poolShare * (1 - poolShare) * (1/requests + 1/max(poolRequests, minPoolRequests)))
	return poolShare + max(minExcess, outlierDeviations*deviation)
}

// begin records that a server fails.
func (o *outliers) begin(c candidate, omitted int, now time.Time) {
	f := &failingServer{share: c.share, excess: c.share - c.poolShare, hold: initialHold}
	o.failing[c.server.Cookie] = f
	f.startHold(c.seen.Sums, now)
	o.source.Watch(c.server.Cookie, true)
	o.onChange(OutlierChange{Server: c.server.Cookie, Failing: true, Share: c.share, PoolShare: c.poolShare, Requests: c.requests, Omitted: omitted})
}

// startHold starts a hold.
func (f *failingServer) startHold(seen evidence.Sums, now time.Time) {
	f.before, f.since, f.until, f.probation = seen, now, now.Add(f.hold), false
}

// follow decides from the requests since the last decision whether a failing server fails
// on or has recovered.
func (o *outliers) follow(c *candidate, f *failingServer, pool *norm, now time.Time) {
	poolShare, poolRequests := pool.others(c)
	switch {
	case poolShare >= f.share:
		// What had begun here has become a fault of the whole pool.
		o.end(c.server.Cookie)
		return
	case !f.probation && !now.Before(f.until):
		f.probation = true
		f.before, f.since = c.seen.Sums, now
	case !f.probation && now.Sub(f.until.Add(-f.hold)) < reportTime:
		f.before, f.since = c.seen.Sums, now
	}
	fresh := c.seen.Since(f.before, now.Sub(f.since))
	n := fresh.Total()
	share := fresh.Failed / max(n, 1)
	switch {
	case f.probation && fresh.Failed >= minProbationFailed && share >= outlierShare(poolShare, poolRequests, n):
		f.share, f.excess = max(f.share, share), max(f.excess, share-poolShare)
		f.hold = min(maxHold, 2*f.hold)
		f.startHold(c.seen.Sums, now)
	case n >= minRecoveryOutcomes && share < poolShare+minExcess/2, f.probation && now.Sub(f.until) > maxProbation:
		o.end(c.server.Cookie)
	}
}

func (o *outliers) end(c directory.Cookie) {
	delete(o.failing, c)
	o.source.Watch(c, false)
	o.onChange(OutlierChange{Server: c})
}

// penalty returns the time in seconds that a request loses on a server on average because
// the server fails: a failed request costs its caller up to the route's timeout.
func (o *outliers) penalty(s *directory.Server, r *directory.Route) float64 {
	f := o.failing[s.Cookie]
	if f == nil {
		return 0
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultRouteTimeout
	}
	return min(maxFailingPenalty.Seconds(), f.excess*timeout.Seconds())
}

// trial returns a failing server that gets a flow in spite of its failures, so that its
// recovery shows; nil for most flows.
func (o *outliers) trial(r Request, zone string, random *rand.Rand) *directory.Server {
	if len(o.failing) == 0 {
		return nil
	}
	// Servers of the own zone share the flows; the others usually get hardly any.
	near := 0
	for _, s := range r.Candidates {
		if s.Zone == zone {
			near++
		}
	}
	shares := near
	if near == 0 {
		shares = len(r.Candidates)
	}
	draw := random.Float64() * float64(shares)
	if !r.Route.Idempotent {
		draw /= unsafeTrialFactor
	}
	for _, s := range r.Candidates {
		f := o.failing[s.Cookie]
		if f == nil || near > 0 && s.Zone != zone {
			continue
		}
		if draw -= f.trialShare(r.Now); draw < 0 {
			return s
		}
	}
	return nil
}

// prune drops the state of servers that are no longer in the directory.
func (o *outliers) prune(d *directory.Directory) {
	for c := range o.started {
		if d.ByCookie(c) == nil {
			delete(o.started, c)
		}
	}
	for c := range o.failing {
		if d.ByCookie(c) == nil {
			o.end(c)
		}
	}
}

// trialServer returns the server of a trial, unless it does not answer.
func (p *Placer) trialServer(r Request, e *estimator) *directory.Server {
	s := p.outliers.trial(r, p.zone, p.random)
	if s == nil || !e.mayPlace(s) || e.cost(s)-p.outliers.penalty(s, r.Route) >= suspicionPenalty.Seconds() {
		return nil
	}
	return s
}

// SetOutcomes sets the source of the results of requests. It must be set before the first
// flow.
func (p *Placer) SetOutcomes(source OutcomeSource) { p.outliers.source = source }

// OnOutlierChange sets the function to call when a server starts or ceases to count as
// failing. It must be set before the first flow. fn runs with the Placer's lock held and
// must not call the Placer.
func (p *Placer) OnOutlierChange(fn func(OutlierChange)) { p.outliers.onChange = fn }

// Busy reports whether a server has more requests in progress than it works on at once, and
// as many again waiting.
func (p *Placer) Busy(s *directory.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.servers[s.Cookie]
	return rec != nil && rec.inProgress+rec.peerInProgress > 2*s.Slots
}

// Failing returns the servers that get fewer flows than usual because they fail.
func (p *Placer) Failing(now time.Time) []directory.Cookie {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []directory.Cookie
	for c, f := range p.outliers.failing {
		if f.trialShare(now) < 1 {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}
