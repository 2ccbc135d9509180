package main

import (
	"flag"
	"strings"
)

// positional returns the arguments of f that are not flags. Flags may occur between
// them, as in `explain FILE --against FILE`.
func positional(f *flag.FlagSet) ([]string, error) {
	names := []string{}
	for f.NArg() > 0 {
		names = append(names, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}

	return names, nil
}

// stringList is a flag that may be given several times.
type stringList []string

// String returns the values separated by spaces.
func (l *stringList) String() string {
	return strings.Join(*l, " ")
}

// Set adds a value.
func (l *stringList) Set(s string) error {
	*l = append(*l, s)

	return nil
}
