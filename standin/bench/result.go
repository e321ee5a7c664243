package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/site"
)

const (
	// maxLatency is the upper limit of the latency histogram, whose values are in
	// µs. No flow lasts that long.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Result has the measurements of one run.
type Result struct {
	Site    string `json:"site"`
	Setting string `json:"setting"`
	Policy  string `json:"policy"`

	Opened    int `json:"opened"`
	Skipped   int `json:"skipped"`
	Completed int `json:"completed"`
	// Refused and Broken count flows by reason.
	Refused map[caller.Reason]int `json:"refused"`
	Broken  map[caller.Reason]int `json:"broken"`
	// BrokenUnplanned counts the flows broken by a crash, BrokenPlanned all other
	// broken flows.
	BrokenPlanned   int `json:"broken_planned"`
	BrokenUnplanned int `json:"broken_unplanned"`
	OpenAtCrash     int `json:"open_at_crash"`

	Pools          []PoolResult   `json:"pools"`
	Check          Latency        `json:"check"`
	ControlTraffic ControlTraffic `json:"control"`
	// SecondHopShare is the share of packets that passed a second balancer.
	SecondHopShare float64 `json:"second_hop_share"`
	// Violations counts the violations that the site lists, by promise and kind,
	// as in "P5 second_server". ViolationCount is the number of all violations.
	Violations     map[string]int `json:"violations"`
	ViolationCount int            `json:"violation_count"`
	LeaveError     string         `json:"leave_error,omitempty"`
}

// PoolResult has the imbalance of one pool over the whole run, and the 99th
// percentile of the imbalance in its time windows.
type PoolResult struct {
	Name      string  `json:"name"`
	Imbalance float64 `json:"imbalance"`
	WindowP99 float64 `json:"window_p99"`
	Windows   int     `json:"windows"`
}

// Latency has latency percentiles of short requests.
type Latency struct {
	Requests int           `json:"requests"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	P999     time.Duration `json:"p999_ns"`
}

// ControlTraffic has the mean and the maximum over all daemons of the control
// bytes sent per second.
type ControlTraffic struct {
	Mean float64 `json:"mean_bytes_per_second"`
	Max  float64 `json:"max_bytes_per_second"`
}

func newResult(setting, policy string, s *site.Summary) (Result, error) {
	check, err := newLatency(s.Flows.Checks)
	if err != nil {
		return Result{}, err
	}
	r := Result{
		Site: s.Site, Setting: setting, Policy: policy,
		Opened: s.Flows.Opened, Skipped: s.Flows.Skipped, Completed: s.Flows.Completed,
		Refused: s.Flows.Refused, Broken: s.Flows.Broken,
		BrokenPlanned:   total(s.Flows.Broken) - s.Flows.BrokenByCrash,
		BrokenUnplanned: s.Flows.BrokenByCrash, OpenAtCrash: s.Flows.OpenAtCrash,
		Check: check, ControlTraffic: newControlTraffic(s.Balancers), SecondHopShare: s.SecondHopShare,
		Violations: make(map[string]int), ViolationCount: s.ViolationCount, LeaveError: s.LeaveError,
	}
	for _, p := range s.Pools {
		r.Pools = append(r.Pools, PoolResult{Name: p.Pool, Imbalance: p.Imbalance, WindowP99: p.WindowP99, Windows: p.Windows})
	}
	for _, v := range s.Violations {
		r.Violations[string(v.Promise)+" "+string(v.Kind)]++
	}
	return r, nil
}

func newLatency(values []time.Duration) (Latency, error) {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	for _, v := range values {
		if err := h.RecordValue(v.Microseconds()); err != nil {
			return Latency{}, errors.Wrapf(err, "record latency %s", v)
		}
	}
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Latency{Requests: len(values), P50: at(50), P99: at(99), P999: at(99.9)}, nil
}

func newControlTraffic(daemons []site.BalancerSummary) ControlTraffic {
	var c ControlTraffic
	for _, d := range daemons {
		c.Mean += d.ControlBytesPerSec / float64(len(daemons))
		c.Max = max(c.Max, d.ControlBytesPerSec)
	}
	return c
}

func total(m map[caller.Reason]int) int {
	n := 0
	for _, c := range m {
		n += c
	}
	return n
}
