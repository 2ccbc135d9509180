// Command tables rewrites the tables of Markdown pages from CSV files. A table
// stands between the lines "<!-- table: FILE -->" and "<!-- end -->", with FILE
// relative to the page.
package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	startMark = "<!-- table: "
	closeMark = " -->"
	endMark   = "<!-- end -->"
)

// errNoEnd means that a table's end mark is missing.
var errNoEnd = errors.New("table has no end mark")

func main() {
	for _, page := range os.Args[1:] {
		if err := rewrite(page); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", page, err)
			os.Exit(1)
		}
	}
}

func rewrite(page string) error {
	b, err := os.ReadFile(page)
	if err != nil {
		return err
	}

	out := []string{}
	lines := strings.Split(string(b), "\n")
	for i := 0; i < len(lines); i++ {
		out = append(out, lines[i])
		if !strings.HasPrefix(lines[i], startMark) {
			continue
		}
		name := strings.TrimSuffix(strings.TrimPrefix(lines[i], startMark), closeMark)
		table, err := markdown(filepath.Join(filepath.Dir(page), name))
		if err != nil {
			return err
		}
		out = append(out, table...)
		for lines[i] != endMark {
			i++
			if i == len(lines) {
				return errNoEnd
			}
		}
		out = append(out, endMark)
	}

	return os.WriteFile(page, []byte(strings.Join(out, "\n")), 0o644)
}

func markdown(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()

	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, err
	}
	lines := []string{""}
	for i, r := range rows {
		lines = append(lines, "| "+strings.Join(r, " | ")+" |")
		if i == 0 {
			lines = append(lines, "|"+strings.Repeat(" --- |", len(r)))
		}
	}

	return append(lines, ""), nil
}
