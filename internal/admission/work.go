package admission

import (
	"math"
	"time"
)

// serviceTimeGain is the weight of one answer in the average service time of a route.
const serviceTimeGain = 0.03

// work is the amount of work that is asked for, as a rate that decays with askedTime.
type work struct {
	perSecond float64
	at        time.Time
}

// add adds an amount of work in seconds.
func (w *work) add(seconds float64, now time.Time) {
	w.perSecond, w.at = w.rate(now)+seconds/askedTime.Seconds(), now
}

// rate returns the work that is asked for, in seconds per second.
func (w *work) rate(now time.Time) float64 {
	return w.perSecond * math.Exp(-max(0, now.Sub(w.at).Seconds())/askedTime.Seconds())
}

// learn updates the service time from an answer that took a time while slots were free, or
// from the first one.
func (r *routeState) learn(seconds float64) {
	if r.serviceTime == 0 {
		r.serviceTime = seconds
		return
	}
	r.serviceTime += serviceTimeGain * (seconds - r.serviceTime)
}
