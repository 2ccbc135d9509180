// Package settings reads and checks the YAML settings of the processes.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
	"ibisfold.example/core/keyring"
)

// MaxBytes is the largest settings file, in bytes.
const MaxBytes = document.MaxBytes

// Sentinel errors of this package.
const (
	ErrInvalid = errors.ConstError("invalid settings")
	ErrTooLong = errors.ConstError("settings are longer than 1 MB")
	ErrType    = errors.ConstError("settings are neither of an entry nor of an agent")
)

// Process holds what all processes of the system need.
type Process struct {
	// Zone is the availability zone of the VM.
	Zone string `yaml:"Zone"`
	// Listen is the address that the process binds for other processes.
	Listen netip.AddrPort `yaml:"Listen"`
	// Advertise is the address that others use; by default Listen.
	Advertise netip.AddrPort `yaml:"Advertise,omitempty"`
	// HTTP is the address of /metrics and /healthz.
	HTTP netip.AddrPort `yaml:"HTTP"`
	// Consul is the base URL of the configuration service.
	Consul string `yaml:"Consul"`
	// Seeds are addresses of other processes.
	Seeds []netip.AddrPort `yaml:"Seeds"`
	// Keys authenticate messages between processes; the first one signs.
	Keys []keyring.Key `yaml:"Keys"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration `yaml:"StopTimeout,omitempty"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Process `yaml:",inline"`
	// Callers is the address at which the fabric delivers callers' packets.
	Callers netip.AddrPort `yaml:"Callers"`
	// Threads is the number of traffic goroutines; by default 1.
	Threads int `yaml:"Threads,omitempty"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Process `yaml:",inline"`
	// Name is the target's name as tickets give it.
	Name string `yaml:"Name"`
	// Target is the address of the target on the same VM.
	Target netip.AddrPort `yaml:"Target"`
}

// Load reads a settings file into v, an *Entry or an *Agent.
func Load(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "settings")
	}

	return Parse(b, v)
}

// Parse reads and checks settings into v, an *Entry or an *Agent, and sets
// defaults. Errors: ErrInvalid, ErrTooLong, both as a *document.Error that
// carries all problems, and ErrType.
func Parse(b []byte, v any) error {
	d, problems := document.Decode(b, v)
	if d == nil {
		return document.NewError(kindOf(problems), problems)
	}

	c := document.NewChecker(d, problems)
	switch s := v.(type) {
	case *Entry:
		checkEntry(c, s)
		s.setDefaults()
		s.Threads = max(s.Threads, 1)
	case *Agent:
		checkAgent(c, s)
		s.setDefaults()
	default:
		return errors.Annotatef(ErrType, "%T", v)
	}

	return document.NewError(ErrInvalid, c.Problems())
}

func kindOf(problems []document.Problem) error {
	if problems[0].Code == document.CodeTooLong {
		return ErrTooLong
	}

	return ErrInvalid
}

func (p *Process) setDefaults() {
	if !p.Advertise.IsValid() {
		p.Advertise = p.Listen
	}
}

// DefaultStopTimeout bounds a graceful shutdown if the settings do not.
const DefaultStopTimeout = 30 * time.Second

// Self returns the address that other processes use.
func (p *Process) Self() netip.AddrPort {
	if p.Advertise.IsValid() {
		return p.Advertise
	}

	return p.Listen
}

// StopTime returns the longest time of a graceful shutdown.
func (p *Process) StopTime() time.Duration {
	if p.StopTimeout > 0 {
		return p.StopTimeout
	}

	return DefaultStopTimeout
}
