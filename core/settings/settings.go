// Package settings decodes the YAML settings of entries and agents, and decides
// whether they are valid.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
	"ibisfold.example/core/keyring"
)

// MaxBytes is the maximum length of a settings file, in bytes.
const MaxBytes = document.MaxBytes

// Sentinel errors of this package.
const (
	ErrInvalid = errors.ConstError("invalid settings")
	ErrTooLong = errors.ConstError("settings are longer than 1 MB")
	ErrType    = errors.ConstError("settings must be decoded into *Entry or *Agent")
)

// Process holds the settings that entries and agents have in common.
type Process struct {
	// Zone is the availability zone of the VM that the process runs on.
	Zone string `yaml:"Zone"`
	// Listen is the local address that the process binds for messages from other
	// processes.
	Listen netip.AddrPort `yaml:"Listen"`
	// Advertise is the address at which other processes reach this one. It
	// defaults to Listen.
	Advertise netip.AddrPort `yaml:"Advertise,omitempty"`
	// HTTP is the address of /metrics and /healthz.
	HTTP netip.AddrPort `yaml:"HTTP"`
	// Consul is the base URL of the configuration service.
	Consul string `yaml:"Consul"`
	// Seeds are addresses of other processes, which this one contacts until it
	// knows peers.
	Seeds []netip.AddrPort `yaml:"Seeds"`
	// Keys authenticate messages between processes. The first key signs; all of
	// them verify.
	Keys []keyring.Key `yaml:"Keys"`
	// StopTimeout bounds a graceful shutdown; zero stands for DefaultStopTimeout.
	StopTimeout time.Duration `yaml:"StopTimeout,omitempty"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Process `yaml:",inline"`
	// Callers is the address at which the fabric delivers callers' packets.
	Callers netip.AddrPort `yaml:"Callers"`
	// Threads is the number of goroutines that process callers' packets. It
	// defaults to 1.
	Threads int `yaml:"Threads,omitempty"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Process `yaml:",inline"`
	// Name is the name of the agent's target in tickets.
	Name string `yaml:"Name"`
	// Target is the address of the target, which runs on the same VM.
	Target netip.AddrPort `yaml:"Target"`
}

// Load reads a settings file into v, an *Entry or an *Agent.
func Load(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}

	return Parse(b, v)
}

// Parse decodes settings into v, an *Entry or an *Agent, checks them and sets
// defaults. It returns ErrInvalid or ErrTooLong as a *document.Error that
// carries all problems, or ErrType for any other type of v.
func Parse(b []byte, v any) error {
	d, problems := document.Decode(b, v)
	if d == nil {
		return document.NewError(errorKind(problems), problems)
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

// errorKind returns the sentinel error for problems that prevent decoding.
func errorKind(problems []document.Problem) error {
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

// DefaultStopTimeout bounds a graceful shutdown if StopTimeout is not set.
const DefaultStopTimeout = 30 * time.Second

// AdvertisedAddress returns the address at which other processes reach this one.
func (p *Process) AdvertisedAddress() netip.AddrPort {
	if p.Advertise.IsValid() {
		return p.Advertise
	}

	return p.Listen
}

// ShutdownTimeout returns the bound of a graceful shutdown: StopTimeout or, if
// that is not set, DefaultStopTimeout.
func (p *Process) ShutdownTimeout() time.Duration {
	if p.StopTimeout > 0 {
		return p.StopTimeout
	}

	return DefaultStopTimeout
}
