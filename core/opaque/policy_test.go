package opaque

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against invalid values that are accepted, and against errors that name neither
// the field nor the line.
func TestLoadPolicies(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "policy.yaml")
	is.NoErr(os.WriteFile(path, []byte("Entry:\n  AcceptTime: 80ms\nAgent:\n  QueueSlots: 2\n"), 0o600))
	p, err := LoadPolicies(path)
	is.NoErr(err)
	is.Equal(p.Entry.AcceptTime, 80*time.Millisecond)
	is.Equal(p.Entry.MaxTried, 4)
	is.Equal(p.Changes(), "Entry.AcceptTime=80ms Agent.QueueSlots=2")

	for text, field := range map[string]string{
		"Entry:\n  AcceptTime: 80\n":   "Entry.AcceptTime",
		"Entry:\n  MaxTried: 0\n":      "Entry.MaxTried",
		"Agent:\n  NewShare: 150\n":    "Agent.NewShare",
		"Agent:\n  NewShare: some\n":   "Agent.NewShare",
		"Agent:\n  AcceptTime: 80ms\n": "Agent.AcceptTime",
		"Agent:\n  HandoverTime: 2s\n": "Agent.HandoverTime",
		"Entry:\n  HandoverTime: 2s\n": "Entry.HandoverTime",
	} {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadPolicies(path)
		is.True(errors.Is(err, ErrPolicy))
		is.True(strings.Contains(err.Error(), field))
		is.True(strings.Contains(err.Error(), "2"))
	}
}

// Guards against a process that runs without a policy file and has thresholds of zero.
func TestDefaultPolicies(t *testing.T) {
	is := is.New(t)
	p, err := LoadPolicies("")
	is.NoErr(err)
	is.Equal(p.Changes(), "")
	is.True(p.Entry.AcceptTime > 0)
}
