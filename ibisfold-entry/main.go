// Command ibisfold-entry receives callers' packets from the fabric and forwards
// each to the agent that owns its flow. It keeps no state per flow.
package main

import (
	"context"

	"github.com/charmbracelet/log"

	"ibisfold.example/core/program"
	"ibisfold.example/core/settings"
)

func main() {
	program.Main(program.Process{
		Name:      "ibisfold-entry",
		Run:       run,
		RunOpaque: runOpaque,
	})
}

func run(term context.Context, path string, l *log.Logger) error {
	s := settings.Entry{}
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	p, err := newProcess(s, l)
	if err != nil {
		return err
	}

	return p.run(term)
}
