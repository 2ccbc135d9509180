package fabric

import (
	"context"
	"flag"
	"net/http"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"ibisfold.example/core/settings"
)

// Command relays between the processes whose settings are in a directory.
type Command struct {
	dir       string
	admin     string
	zoneDelay time.Duration
	jitter    time.Duration
	seed      uint64
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "fabric" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string { return "relay between processes with delay and faults" }

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "fabric --settings DIR --delay 5ms --admin 127.0.0.1:8600\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "settings", "", "directory of the processes' settings")
	f.StringVar(&c.admin, "admin", "127.0.0.1:8600", "HTTP address of the admin endpoint")
	f.DurationVar(&c.zoneDelay, "delay", 0, "one-way delay between zones")
	f.DurationVar(&c.jitter, "jitter", 0, "random time added to the delay")
	f.Uint64Var(&c.seed, "seed", 1, "seed of losses and jitter")
}

// Execute relays and serves the admin endpoint until ctx is done.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	f := New(NewPath(c.zoneDelay, c.jitter, c.seed))
	defer f.Close()

	if err := f.addDir(c.dir); err != nil {
		log.Error("cannot relay", "err", err)
		return subcommands.ExitFailure
	}
	s := &http.Server{
		Addr:              c.admin,
		Handler:           f.AdminHandler(),
		ReadHeaderTimeout: time.Second,
	}
	defer context.AfterFunc(ctx, func() {
		_ = s.Close()
	})()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		log.Error("admin endpoint ended", "err", err)
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// addDir adds the process of each settings file in dir.
func (f *Fabric) addDir(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return err
	}
	for _, p := range files {
		n, err := loadNode(p)
		if err != nil {
			return err
		}
		if err := f.Add(n); err != nil {
			return err
		}
	}

	return nil
}

func loadNode(path string) (Node, error) {
	p, err := LoadProcess(path)
	if err != nil {
		return Node{}, err
	}

	return NodeOf(p), nil
}

// NodeOf returns the node of a process. The advertised address defaults to the listen address.
func NodeOf(p settings.Process) Node {
	n := Node{
		Zone:      p.Zone,
		Advertise: p.Advertise,
		Listen:    p.Listen,
	}
	if !n.Advertise.IsValid() {
		n.Advertise = p.Listen
	}

	return n
}

// LoadProcess loads the part of a settings file that entries and agents have in common.
func LoadProcess(path string) (settings.Process, error) {
	if IsEntry(path) {
		e := settings.Entry{}
		err := settings.Load(path, &e)

		return e.Process, err
	}
	a := settings.Agent{}
	err := settings.Load(path, &a)

	return a.Process, err
}

// IsEntry reports whether a settings file belongs to an entry, judging by its name.
func IsEntry(path string) bool {
	ok, _ := filepath.Match("entry-*.yaml", filepath.Base(path))

	return ok
}
