package bench

// Comparison is the imbalance of Own beside the best other policy, for one
// pool in one setting.
type Comparison struct {
	Site    string `json:"site"`
	Setting string `json:"setting"`
	Pool    string `json:"pool"`
	// DefaultValue is 0 when no run had the own policy.
	DefaultValue float64 `json:"own"`
	Best         string  `json:"best"`
	BestValue    float64 `json:"best_value"`
	// Wins reports that Own is below all others.
	Wins bool `json:"wins"`
}

// compare returns the comparisons in the order of the results, for those pools
// that ran both with Own and with another policy.
func compare(results []Result) []Comparison {
	type key struct{ site, setting, pool string }
	var order []key
	found := make(map[key]*Comparison)
	for _, r := range results {
		for _, p := range r.Pools {
			k := key{r.Site, r.Setting, p.Name}
			c := found[k]
			if c == nil {
				c = &Comparison{Site: r.Site, Setting: r.Setting, Pool: p.Name}
				found[k] = c
				order = append(order, k)
			}
			c.add(r.Policy, p.Imbalance)
		}
	}
	var out []Comparison
	for _, k := range order {
		if c := found[k]; c.DefaultValue > 0 && c.Best != "" {
			c.Wins = c.DefaultValue < c.BestValue
			out = append(out, *c)
		}
	}
	return out
}

// add takes one value; 0 means that the pool had no work.
func (c *Comparison) add(policy string, imbalance float64) {
	switch {
	case imbalance == 0:
	case policy == DefaultPolicy:
		c.DefaultValue = imbalance
	case c.Best == "" || imbalance < c.BestValue:
		c.Best, c.BestValue = policy, imbalance
	}
}
