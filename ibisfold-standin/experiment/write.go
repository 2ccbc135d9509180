package experiment

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	// legendShare is the width of the space for the legend to the right of the curves,
	// relative to their width.
	legendShare = 0.35
)

// exactTicks labels the default ticks with up to three decimals. The default labels would show
// 1.05 as 1.1.
type exactTicks struct{}

// Ticks implements plot.Ticker.
func (exactTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i, t := range ticks {
		if t.Label != "" {
			ticks[i].Label = strconv.FormatFloat(round(t.Value), 'f', -1, 64)
		}
	}

	return ticks
}

// Write writes a result to dir as a CSV file and, if it has lines, as a plot.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := r.writeCSV(filepath.Join(dir, r.Name+".csv")); err != nil {
		return errors.Trace(err)
	}
	if len(r.Lines) == 0 {
		return nil
	}

	return errors.Trace(r.writePlot(filepath.Join(dir, r.Name+".png")))
}

// writeCSV writes the header and the rows.
func (r *Result) writeCSV(path string) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()

	w := csv.NewWriter(f)
	if err := w.Write(r.Header); err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(w.WriteAll(r.Rows))
}

// writePlot draws the lines.
func (r *Result) writePlot(path string) error {
	p := plot.New()
	p.X.Label.Text = r.XLabel
	p.Y.Label.Text = r.YLabel
	p.Legend.Top = true
	p.X.Tick.Marker = exactTicks{}
	p.Y.Tick.Marker = exactTicks{}
	p.Add(plotter.NewGrid())
	for i, l := range r.Lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j].X = l.X[j]
			points[j].Y = l.Y[j]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / 7)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}

	p.X.Max += legendShare * (p.X.Max - p.X.Min)

	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}
