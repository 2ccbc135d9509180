// Command ibisfold-agent runs beside one target. It owns the target's flows,
// decides which work to admit, and passes that work to the target.
package main

import (
	"context"

	"github.com/charmbracelet/log"

	"ibisfold.example/core/program"
	"ibisfold.example/core/settings"
)

func main() {
	program.Main(program.Process{
		Name:      "ibisfold-agent",
		Run:       run,
		RunOpaque: runOpaque,
	})
}

func run(term context.Context, path string, l *log.Logger) error {
	s := settings.Agent{}
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	p, err := newProcess(s, l)
	if err != nil {
		return err
	}

	return p.run(term)
}
