// Command cmd runs the simulated experiments of package experiment and writes their results.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"ibisfold.example/ibisfold-standin/experiment"
)

func main() {
	c := experiment.Command()
	f := flag.NewFlagSet(c.Name(), flag.ExitOnError)
	c.SetFlags(f)
	_ = f.Parse(os.Args[1:])
	if s := c.Execute(context.Background(), f); s != subcommands.ExitSuccess {
		os.Exit(int(s))
	}
}
