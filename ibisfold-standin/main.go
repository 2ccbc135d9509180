// Command ibisfold-standin runs stand-ins for the systems around ibisfold: the network fabric,
// the configuration service, targets and callers. Further subcommands run demos, soak tests and
// measurements.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"ibisfold.example/ibisfold-standin/callers"
	"ibisfold.example/ibisfold-standin/ceiling"
	"ibisfold.example/ibisfold-standin/config"
	"ibisfold.example/ibisfold-standin/demo"
	"ibisfold.example/ibisfold-standin/fabric"
	"ibisfold.example/ibisfold-standin/load"
	"ibisfold.example/ibisfold-standin/relay"
	"ibisfold.example/ibisfold-standin/soak"
	"ibisfold.example/ibisfold-standin/target"
)

var commands = []subcommands.Command{
	&callers.Command{},
	&ceiling.Command{},
	&config.Command{},
	&demo.Command{},
	&fabric.Command{},
	&load.Command{},
	&relay.Command{},
	&soak.Command{},
	&target.Command{},
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
