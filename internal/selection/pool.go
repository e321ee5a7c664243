package selection

import (
	"math"
	"time"

	"knapweedshore.example/internal/tables"
)

// Constants of the learned corrections. The gains were found by measurement in
// the queueing model: higher ones follow the randomness of single long flows,
// lower ones need minutes to learn the speeds.
const (
	// TuneInterval is the time between two corrections.
	TuneInterval = 100 * time.Millisecond
	// GainPerSecond is the relative correction for each second in which a
	// server is used twice as much as the mean. It is higher at first: after t
	// seconds of learning 1/t.
	GainPerSecond = 0.02
	// GainPerFlow bounds the correction for one flow of average length, so that
	// an owner with few flows learns from many of them rather than from the
	// last one.
	GainPerFlow = 0.05
	// MaxCorrection bounds corrections to 1/MaxCorrection … MaxCorrection. A
	// bound that single long flows reach loses part of what was learned.
	MaxCorrection = 16
	// maxTuneStep bounds the time that one correction stands for, after a pause
	// without new flows.
	maxTuneStep = time.Second
)

// pool holds the records of one pool in the order of its servers.
type pool struct {
	table   *tables.Pool
	servers []*server
	// opened is the decaying number of opened flows and utilisation the mean
	// over the warm servers, both valid at tunedAt.
	opened      float64
	utilisation float64
	tunedAt     instant
}

// tune corrects the weights by integral control: a server used more than the
// mean of the pool has its correction lowered and the other way round, until
// utilisations are equal in the long run, whatever the servers' speeds are.
func (p *pool) tune(now instant) {
	if now-p.tunedAt < instant(TuneInterval) {
		return
	}
	elapsed := time.Duration(now - p.tunedAt)
	p.tunedAt = now
	p.opened *= math.Exp(-float64(elapsed) / float64(BusyDecay))
	warm, correction := p.measure(now)
	if p.utilisation <= 0 {
		return
	}
	flowsPerSecond := p.opened / BusyDecay.Seconds() / warm
	step := min(elapsed, maxTuneStep)
	most := GainPerFlow * flowsPerSecond
	for i, rec := range p.servers {
		if p.tunable(i, now) {
			rec.tuned += step
			gain := min(most, max(GainPerSecond, 1/rec.tuned.Seconds()))
			rec.correct(gain*step.Seconds()*(rec.utilisation/p.utilisation-1), correction)
		}
	}
}

// measure updates the utilisations. It returns the number of warm servers and
// their mean correction.
func (p *pool) measure(now instant) (warm, correction float64) {
	sum := 0.0
	for i, rec := range p.servers {
		rec.settle(now)
		rec.utilisation = rec.busy / slotsOf(&p.table.Servers[i])
		if p.tunable(i, now) {
			warm++
			sum += rec.utilisation
			correction += rec.correction
		}
	}
	p.utilisation = 0
	if warm > 0 {
		p.utilisation = sum / warm
		correction /= warm
	}
	return warm, correction
}

// tunable reports whether the server's utilisation can be expected to equal the
// mean: servers that drain, are ejected or are cold are left out.
func (p *pool) tunable(i int, now instant) bool {
	rec := p.servers[i]
	return p.table.Servers[i].State == tables.Active && !rec.ejected(now) && rec.warmth(now) == 1
}

// correct lowers the correction by a relative step. Dividing by the mean keeps
// the corrections of a pool from moving to one of the limits together.
func (r *server) correct(step, mean float64) {
	step = min(0.5, max(-0.5, step))
	r.correction = min(MaxCorrection, max(1./MaxCorrection, r.correction/mean*(1-step)))
}
