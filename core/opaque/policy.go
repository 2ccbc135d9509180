package opaque

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/juju/errors"

	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/document"
	"ibisfold.example/core/steer"
)

// ErrPolicy means that a policy file can't be used.
const ErrPolicy = errors.ConstError("invalid policy")

// Policies are the thresholds of all decisions on opaque flows. What a file leaves
// out has its default.
type Policies struct {
	Entry steer.Policy     `yaml:"Entry,omitempty"`
	Agent conntrack.Policy `yaml:"Agent,omitempty"`
}

// SetDefaults implements document.Defaulter.
func (p *Policies) SetDefaults() {
	p.Entry.SetDefaults()
	p.Agent.SetDefaults()
}

// LoadPolicies reads a policy file; an empty path is one without fields. Error:
// ErrPolicy, as a *document.Error that carries all problems.
func LoadPolicies(path string) (*Policies, error) {
	p := &Policies{}
	if path == "" {
		p.SetDefaults()

		return p, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "policy")
	}

	return p, p.parse(b)
}

func (p *Policies) parse(b []byte) error {
	d, problems := document.Decode(b, p)
	if d == nil {
		return document.NewError(ErrPolicy, problems)
	}
	c := document.NewChecker(d, problems)
	p.Entry.Check(c, "Entry.")
	p.Agent.Check(c, "Agent.")

	return document.NewError(ErrPolicy, c.Problems())
}

// Changes lists the fields that differ from their defaults, for the log line at the
// start.
func (p *Policies) Changes() string {
	usual := Policies{}
	usual.SetDefaults()
	list := append(
		changes("Entry", reflect.ValueOf(p.Entry), reflect.ValueOf(usual.Entry)),
		changes("Agent", reflect.ValueOf(p.Agent), reflect.ValueOf(usual.Agent))...,
	)

	return strings.Join(list, " ")
}

func changes(section string, a, b reflect.Value) []string {
	list := []string{}
	for i := range a.NumField() {
		if !a.Field(i).Equal(b.Field(i)) {
			list = append(list, fmt.Sprintf("%s.%s=%v", section, a.Type().Field(i).Name, a.Field(i)))
		}
	}

	return list
}
