package bench

// Comparison compares the imbalance of one pool in one setting between
// DefaultPolicy and the best of the other policies.
type Comparison struct {
	Site    string `json:"site"`
	Setting string `json:"setting"`
	Pool    string `json:"pool"`
	// DefaultValue is the imbalance with DefaultPolicy, or 0 if there is none.
	DefaultValue float64 `json:"own"`
	// Best is the name of the best other policy.
	Best      string  `json:"best"`
	BestValue float64 `json:"best_value"`
	// Wins reports whether DefaultValue is below BestValue.
	Wins bool `json:"wins"`
}

// compare returns a comparison for each pool that had work in runs with both
// DefaultPolicy and another policy, in the order of the results.
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

// add adds the imbalance of one run. It is 0 for a pool without work, and then
// ignored.
func (c *Comparison) add(policy string, imbalance float64) {
	switch {
	case imbalance == 0:
	case policy == DefaultPolicy:
		c.DefaultValue = imbalance
	case c.Best == "" || imbalance < c.BestValue:
		c.Best, c.BestValue = policy, imbalance
	}
}
