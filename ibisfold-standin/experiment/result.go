package experiment

import (
	"fmt"
	"strconv"
	"strings"
)

// Result holds the measurements of one experiment.
type Result struct {
	// Name is the file name of the CSV file and the plot without its suffix.
	Name   string
	Header []string
	Rows   [][]string
	// Lines are the curves of the plot, XLabel and YLabel the labels of its axes. Without
	// lines there is no plot.
	XLabel string
	YLabel string
	Lines  []Line
}

// Line is one curve of a plot.
type Line struct {
	Name string
	X    []float64
	Y    []float64
}

// add appends a row. Floating-point numbers get at most three decimals.
func (r *Result) add(cells ...any) {
	row := []string{}
	for _, c := range cells {
		switch c := c.(type) {
		case float64:
			row = append(row, strconv.FormatFloat(round(c), 'f', -1, 64))
		default:
			row = append(row, fmt.Sprint(c))
		}
	}
	r.Rows = append(r.Rows, row)
}

// round rounds to three decimals.
func round(v float64) float64 {
	f, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'f', 3, 64), 64)

	return f
}

// Markdown returns the header and the rows as a table.
func (r *Result) Markdown() string {
	b := &strings.Builder{}
	line := func(cells []string) {
		fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
	}
	line(r.Header)
	fmt.Fprintf(b, "|%s\n", strings.Repeat("---|", len(r.Header)))
	for _, row := range r.Rows {
		line(row)
	}

	return b.String()
}
