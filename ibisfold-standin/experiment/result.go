package experiment

import (
	"fmt"
	"strconv"
	"strings"
)

// Result is what one experiment measured.
type Result struct {
	// Name is the stem of the file names.
	Name   string
	Header []string
	Rows   [][]string
	// Plot is drawn from Lines; a nil slice means no plot.
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

// add appends a row; numbers are formatted with three decimals at most.
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

func round(v float64) float64 {
	f, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'f', 3, 64), 64)

	return f
}

// Markdown returns the rows as a table.
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
