package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"text/template"

	"github.com/go-faster/errors"
)

// Dimensions of a chart in pixels.
const (
	rowHeight  = 22
	headHeight = 30
	barLeft    = 140
	barWidth   = 400
)

var chartTemplate = template.Must(template.New("chart").Parse(
	`<svg xmlns="http://www.w3.org/2000/svg" width="620" height="{{.Height}}" font-family="sans-serif" font-size="12">
<title>{{.Title}}</title>
<text x="8" y="18" font-weight="bold">{{.Title}}</text>
{{range .Bars}}<text x="8" y="{{.TextY}}">{{.Name}}</text>
<rect x="{{$.Left}}" y="{{.Y}}" width="{{printf "%.1f" .Width}}" height="16" fill="{{if .Own}}#2b6cb0{{else}}#a0aec0{{end}}"/>
<text x="{{printf "%.1f" .LabelX}}" y="{{.TextY}}">{{.Label}}</text>
{{end}}</svg>
`))

// chart is the data of chartTemplate.
type chart struct {
	Title        string
	Height, Left int
	Bars         []bar
}

// bar is the result of one policy.
type bar struct {
	Name, Label   string
	Y, TextY      int
	Width, LabelX float64
	Own           bool // with DefaultPolicy
	value         float64
}

// WritePlots writes bar charts as SVG files to a directory, which it creates if
// needed. For each site and setting there is a chart of the imbalance of each
// pool and one of the p99 of short requests, with one bar for each policy.
func (r *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create directory of plots")
	}
	names, charts := r.charts()
	for _, name := range names {
		if err := charts[name].write(filepath.Join(dir, name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// charts returns the file names without extension, in order, and the charts by
// name.
func (r *Report) charts() ([]string, map[string]*chart) {
	var names []string
	charts := make(map[string]*chart)
	add := func(name, title, policy, label string, value float64) {
		if charts[name] == nil {
			charts[name] = &chart{Title: title, Left: barLeft}
			names = append(names, name)
		}
		charts[name].add(policy, label, value)
	}
	for _, result := range r.Results {
		run := result.Site + "-" + result.Setting
		for _, p := range result.Pools {
			add(run+"-imbalance-"+p.Name, fmt.Sprintf("Imbalance of pool %s, %s, %s", p.Name, result.Site, result.Setting),
				result.Policy, fmt.Sprintf("%.2f", p.Imbalance), p.Imbalance)
		}
		add(run+"-p99", fmt.Sprintf("p99 of short requests, %s, %s", result.Site, result.Setting),
			result.Policy, milliseconds(result.Check.P99), float64(result.Check.P99))
	}
	return names, charts
}

func (c *chart) add(policy, label string, value float64) {
	y := headHeight + rowHeight*len(c.Bars)
	c.Bars = append(c.Bars, bar{Name: policy, Label: label, Y: y, TextY: y + 13, Own: policy == DefaultPolicy, value: value})
	c.Height = y + rowHeight
}

// scale sets the widths of the bars in proportion to their values. Bars begin at
// 0, and the highest value is drawn barWidth wide.
func (c *chart) scale() {
	highest := 0.0
	for _, b := range c.Bars {
		highest = max(highest, b.value)
	}
	for i := range c.Bars {
		b := &c.Bars[i]
		if highest > 0 {
			b.Width = barWidth * b.value / highest
		}
		b.LabelX = barLeft + b.Width + 6
	}
}

func (c *chart) write(path string) error {
	c.scale()
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if err := chartTemplate.Execute(f, c); err != nil {
		_ = f.Close() // the error of Execute is returned
		return errors.Wrapf(err, "write plot %q", path)
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close plot %q", path)
	}
	return nil
}
