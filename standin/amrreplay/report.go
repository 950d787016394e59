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

// WriteReport writes the results to files in the directory, which it creates if
// needed: an HTML page with charts, the JSON list, and the table and the
// details as text.
func WriteReport(dir string, results []Result) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	page := components.NewPage()
	page.SetPageTitle("Replay")
	page.AddCharts(
		newTimeChart(results, "Hit rate", "", func(w Window) float64 { return w.HitRate }),
		newTimeChart(results, "TTFT, 50th percentile", "ms", func(w Window) float64 { return milliseconds(w.TTFT50) }),
		newTimeChart(results, "TTFT, 99th percentile", "ms", func(w Window) float64 { return milliseconds(w.TTFT99) }),
		newTimeChart(results, "Most requests at one engine", "", func(w Window) float64 { return float64(w.MaxInFlight) }),
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

// newTimeChart returns a chart with one line for each policy that shows the
// value of each window over trace time.
func newTimeChart(results []Result, title, unit string, value func(Window) float64) *charts.Line {
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
			data = append(data, opts.LineData{Value: value(w)})
		}
		line.SetXAxis(seconds).AddSeries(r.Policy, data)
	}
	return line
}

// writeFile creates the file and calls write with it. It returns the first
// error of creating, writing and closing the file.
func writeFile(dir, name string, write func(*os.File) error) (err error) {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return write(f)
}
