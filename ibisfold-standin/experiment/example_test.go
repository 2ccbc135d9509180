package experiment_test

import (
	"fmt"

	"ibisfold.example/ibisfold-standin/experiment"
)

func ExampleResult_Markdown() {
	r := experiment.Result{
		Header: []string{"Policy", "Goodput"},
		Rows: [][]string{
			{"ibisfold", "1"},
		},
	}
	fmt.Print(r.Markdown())
	// Output:
	// | Policy | Goodput |
	// |---|---|
	// | ibisfold | 1 |
}
