package selection

import (
	"math"
	"time"

	"knapweedshore.example/internal/tables"
)

// Tuning of the learned corrections. In the queueing model of the tests, higher
// gains react to single long flows, and lower gains need minutes to learn the
// speeds.
const (
	// TuneInterval is the minimum time between two tuning steps.
	TuneInterval = 100 * time.Millisecond
	// GainPerSecond is the relative change of a correction per second while the
	// utilisation of the server is twice the mean. It is higher at first: 1/t after t
	// seconds of learning.
	GainPerSecond = 0.02
	// GainPerFlow limits the relative change of a correction for one flow of average
	// length, so that an owner with few flows learns from many of them and not only
	// from the last one.
	GainPerFlow = 0.05
	// MaxCorrection limits corrections to the range from 1/MaxCorrection to
	// MaxCorrection. Single long flows would reach a lower limit, and part of what
	// was learned would be lost there.
	MaxCorrection = 16
	// maxTuneStep limits the time that one tuning step accounts for after a
	// period without new flows.
	maxTuneStep = time.Second
)

// pool holds the records of one pool in the order of its servers.
type pool struct {
	table   *tables.Pool
	servers []*server
	// opened is the number of opened flows, with exponential decay, as of tunedAt.
	opened float64
	// utilisation is the mean over the tunable servers, as of tunedAt.
	utilisation float64
	tunedAt     instant
}

// tune adjusts the corrections by integral control: it lowers the correction of
// a server whose utilisation is above the mean of the pool and raises it below
// the mean. In the long run the utilisations become equal, whatever the servers'
// speeds are.
func (p *pool) tune(now instant) {
	if now-p.tunedAt < instant(TuneInterval) {
		return
	}
	elapsed := time.Duration(now - p.tunedAt)
	p.tunedAt = now
	p.opened *= math.Exp(-float64(elapsed) / float64(BusyDecay))
	tunableCount, meanCorrection := p.updateUtilisations(now)
	if p.utilisation <= 0 {
		return
	}
	flowsPerSecond := p.opened / BusyDecay.Seconds() / tunableCount
	step := min(elapsed, maxTuneStep)
	maxGain := GainPerFlow * flowsPerSecond
	for i, rec := range p.servers {
		if p.tunable(i, now) {
			rec.tunedFor += step
			gain := min(maxGain, max(GainPerSecond, 1/rec.tunedFor.Seconds()))
			rec.adjustCorrection(gain*step.Seconds()*(rec.utilisation/p.utilisation-1), meanCorrection)
		}
	}
}

// updateUtilisations updates the utilisations of the servers and of the pool. It
// returns the number of tunable servers and their mean correction.
func (p *pool) updateUtilisations(now instant) (tunableCount, meanCorrection float64) {
	sum := 0.0
	for i, rec := range p.servers {
		rec.updateBusy(now)
		rec.utilisation = rec.busy / slotCount(&p.table.Servers[i])
		if p.tunable(i, now) {
			tunableCount++
			sum += rec.utilisation
			meanCorrection += rec.correction
		}
	}
	p.utilisation = 0
	if tunableCount > 0 {
		p.utilisation = sum / tunableCount
		meanCorrection /= tunableCount
	}
	return tunableCount, meanCorrection
}

// tunable reports whether server i is expected to reach the mean utilisation. A
// server that is not active, is ejected or is in slow start is not.
func (p *pool) tunable(i int, now instant) bool {
	rec := p.servers[i]
	return p.table.Servers[i].State == tables.Active && !rec.ejected(now) && rec.slowStartFactor(now) == 1
}

// adjustCorrection lowers the correction by a relative step. Dividing by the mean
// keeps the corrections of a pool from drifting towards a limit together.
func (r *server) adjustCorrection(step, meanCorrection float64) {
	step = min(0.5, max(-0.5, step))
	r.correction = min(MaxCorrection, max(1./MaxCorrection, r.correction/meanCorrection*(1-step)))
}
