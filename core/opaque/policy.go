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

// ErrPolicy means that a policy file is invalid.
const ErrPolicy = errors.ConstError("invalid policy")

// Policies are the thresholds of all decisions on opaque flows. Fields that a policy file
// omits have their defaults.
type Policies struct {
	Entry steer.Policy     `yaml:"Entry,omitempty"`
	Agent conntrack.Policy `yaml:"Agent,omitempty"`
}

// SetDefaults implements document.Defaulter.
func (p *Policies) SetDefaults() {
	p.Entry.SetDefaults()
	p.Agent.SetDefaults()
}

// LoadPolicies reads a policy file. With an empty path it returns the defaults. An invalid
// file gives ErrPolicy, as a *document.Error that lists all problems.
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

// Changes lists the fields that differ from their defaults, such as
// "Entry.AcceptTime=80ms". Processes log it when they start.
func (p *Policies) Changes() string {
	defaults := Policies{}
	defaults.SetDefaults()
	list := append(
		changedFields("Entry", reflect.ValueOf(p.Entry), reflect.ValueOf(defaults.Entry)),
		changedFields("Agent", reflect.ValueOf(p.Agent), reflect.ValueOf(defaults.Agent))...,
	)

	return strings.Join(list, " ")
}

func changedFields(section string, policy, defaults reflect.Value) []string {
	list := []string{}
	for i := range policy.NumField() {
		if !policy.Field(i).Equal(defaults.Field(i)) {
			list = append(list, fmt.Sprintf("%s.%s=%v", section, policy.Type().Field(i).Name, policy.Field(i)))
		}
	}

	return list
}
