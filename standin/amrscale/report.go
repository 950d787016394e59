package amrscale

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// WriteTable writes the results as a table with one line for each.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "routers\tway\tclass\tin aim\tp50\tp99\trefused\tread again\tbusiest engine\tmessages/s\tbytes/s\tunsent\t")
	for _, r := range results {
		for _, c := range r.Classes {
			fmt.Fprintf(table, "%d\t%s\t%s\t%.3f\t%v\t%v\t%d\t%.1f %%\t%.2f\t%.0f\t%.0f\t%d\t\n", r.Routers, r.Way, c.Name, c.InAim,
				c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond), r.Refused, 100*float64(r.ReadAgain)/float64(max(r.Read, 1)),
				r.BusiestToMean, r.MessagesSent, r.BytesSent, r.Unsent)
		}
	}
	return table.Flush()
}

// WritePlot writes a page with plots of the results by the number of routers to the
// file.
func WritePlot(name string, results []Result) error {
	page := components.NewPage()
	page.PageTitle = "Ways in which routers learn what they need"
	page.AddCharts(
		newChart(results, "requests within their aim", "share", Result.inAim),
		newChart(results, "bytes sent to other routers", "B/s per router", func(r Result) float64 { return r.BytesSent }),
		newChart(results, "shared tokens computed again", "share", func(r Result) float64 { return float64(r.ReadAgain) / float64(max(r.Read, 1)) }),
		newChart(results, "busiest engine", "requests / mean", func(r Result) float64 { return r.BusiestToMean }),
	)
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(page.Render(f), f.Close())
}

// newChart returns a plot with a line for each way and a point for each number of
// routers.
func newChart(results []Result, title, unit string, value func(Result) float64) *charts.Line {
	var sizes []string
	var ways []Way
	lines := make(map[Way][]opts.LineData)
	for _, r := range results {
		size := strconv.Itoa(r.Routers)
		if len(sizes) == 0 || sizes[len(sizes)-1] != size {
			sizes = append(sizes, size)
		}
		if lines[r.Way] == nil {
			ways = append(ways, r.Way)
		}
		lines[r.Way] = append(lines[r.Way], opts.LineData{Value: value(r)})
	}
	chart := charts.NewLine()
	chart.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithXAxisOpts(opts.XAxis{Name: "routers"}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Right: "0"}),
	)
	chart.SetXAxis(sizes)
	for _, way := range ways {
		chart.AddSeries(string(way), lines[way])
	}
	return chart
}
