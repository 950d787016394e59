package amrreplay

import (
	"os"
	"path/filepath"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

const (
	reportPage    = "report.html"
	reportResults = "results.json"
	reportDetails = "details.txt"
	dirMode       = 0o755
)

// WriteReport writes the results into the directory: a page with plots, the
// JSON list and the details as text.
func WriteReport(dir string, results []Result) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	page := components.NewPage()
	page.SetPageTitle("Replay")
	page.AddCharts(
		courseOf(results, "Hit rate", "", func(w Window) float64 { return w.HitRate }),
		courseOf(results, "TTFT, 50th percentile", "ms", func(w Window) float64 { return milliseconds(w.TTFT50) }),
		courseOf(results, "TTFT, 99th percentile", "ms", func(w Window) float64 { return milliseconds(w.TTFT99) }),
		courseOf(results, "Most requests at one engine", "", func(w Window) float64 { return float64(w.InFlight) }),
	)
	if err := writeFile(dir, reportPage, func(f *os.File) error { return page.Render(f) }); err != nil {
		return err
	}
	if err := writeFile(dir, reportResults, func(f *os.File) error { return WriteJSON(f, results) }); err != nil {
		return err
	}
	return writeFile(dir, reportDetails, func(f *os.File) error {
		if err := WriteTable(f, results); err != nil {
			return err
		}
		return WriteDetails(f, results)
	})
}

// courseOf returns a chart of a figure over the time at which requests were due.
func courseOf(results []Result, title, unit string, figure func(Window) float64) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Right: "0"}),
	)
	for _, r := range results {
		if r.Policy == PolicyIdeal {
			continue
		}
		var seconds []float64
		var data []opts.LineData
		for _, w := range r.Details.Windows {
			seconds = append(seconds, w.At.Seconds())
			data = append(data, opts.LineData{Value: figure(w)})
		}
		line.SetXAxis(seconds).AddSeries(r.Policy, data)
	}
	return line
}

func writeFile(dir, name string, write func(*os.File) error) (err error) {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	defer func() {
		if closing := f.Close(); err == nil {
			err = closing
		}
	}()
	return write(f)
}
