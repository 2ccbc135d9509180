package feed

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// failOnInvalid returns a function that fails the test if a target can't be used.
func failOnInvalid(t *testing.T) func(error) {
	return func(err error) {
		t.Error(err)
	}
}

const (
	goodTarget  = `{"ID":"x","Address":"10.0.0.1:80"}`
	otherTarget = `{"ID":"z","Address":"10.0.0.3:80"}`
)

// oddTargets are targets that can't be used: flows that are placed there would crash the
// process or be lost, or would go there for good.
var oddTargets = map[string]string{
	"no address":          `{"ID":"y"}`,
	"empty address":       `{"ID":"y","Address":""}`,
	"other family":        `{"ID":"y","Address":"[2001:db8::1]:80"}`,
	"no port":             `{"ID":"y","Address":"10.0.0.1:0"}`,
	"multicast":           `{"ID":"y","Address":"224.0.0.1:80"}`,
	"slots too large":     `{"ID":"y","Address":"10.0.0.1:80","Slots":65536}`,
	"cold for ever":       `{"ID":"y","Address":"10.0.0.1:80","ColdLeft":9223372036854775807}`,
	"start in the future": `{"ID":"y","Address":"10.0.0.1:80","Born":9223372036854775807}`,
}

// Guards against a follower that no longer follows its source because of one odd target, and
// against an odd target that is used.
func TestOddTargetsAreLeftOut(t *testing.T) {
	for name, odd := range oddTargets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reported := 0
			b, err := decodeBatch([]byte(`{"Revision":7,"Changes":[{"Target":`+goodTarget+`},{"Target":`+odd+`},{"Target":`+otherTarget+
				`}],"Departed":[{"Target":`+goodTarget+`,"Age":5},{"Target":`+odd+`,"Age":5},{"Target":`+otherTarget+`}]}`), func(err error) {
				is.True(errors.Is(err, catalog.ErrInvalidTarget))
				reported++
			})
			is.NoErr(err)
			is.Equal(reported, 2)
			is.Equal(b.Position.Revision, uint64(7))
			is.Equal(departedIDs(b), []string{"x", "z"})
			is.Equal(len(b.Changes), 3)
			is.Equal(b.Changes[0].(catalog.TargetChange).Target.ID, "x")
			is.Equal(b.Changes[1], catalog.TargetGone{
				ID: "y",
			})
			is.Equal(b.Changes[2].(catalog.TargetChange).Target.ID, "z")
		})
	}
}

// Guards against a configuration that a source of an earlier program version took although it
// can't be used, and against one that keeps the other changes from the process.
func TestOddConfigIsLeftOut(t *testing.T) {
	const route = `{"Config":{"Version":%d,"Routes":{"198.18.0.1:443":{"Address":"198.18.0.1:%d","Splits":[{"Service":%d,"Weight":%d}]}},` +
		`"Services":{"3":{"Name":"s"}}}}`
	for name, odd := range map[string]string{
		"undeclared service": fmt.Sprintf(route, 13, 443, 4, 1),
		"negative weight":    fmt.Sprintf(route, 13, 443, 3, -1),
		"weight too high":    fmt.Sprintf(route, 13, 443, 3, catalog.MaxWeight+1),
		"other address":      fmt.Sprintf(route, 13, 444, 3, 1),
		"no service":         `{"Config":{"Routes":{"198.18.0.1:443":{"Address":"198.18.0.1:443"}}}}`,
		"no port":            `{"Config":{"Routes":{"198.18.0.1:0":{"Address":"198.18.0.1:0"}}}}`,
		"negative cold rate": `{"Config":{"Services":{"3":{"Name":"s","ColdRate":-1}}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reported := 0
			b, err := decodeBatch([]byte(`{"Changes":[`+odd+`,`+fmt.Sprintf(route, 7, 443, 3, 1)+`,{"Gone":{"ID":"x"}}]}`), func(err error) {
				is.True(errors.Is(err, catalog.ErrInvalidConfig))
				reported++
			})
			is.NoErr(err)
			is.Equal(reported, 1)
			is.Equal(len(b.Changes), 2)
			is.Equal(b.Changes[0].(catalog.ConfigChange).Config.Version, uint64(7))
		})
	}
}

// Guards against a departed target that is kept for ever because its age is negative.
func TestDepartureWithNegativeAgeIsLeftOut(t *testing.T) {
	is := is.New(t)
	reported := 0
	b, err := decodeBatch([]byte(`{"Departed":[{"Target":`+goodTarget+`,"Age":-1},{"Target":`+otherTarget+`,"Age":5}]}`), func(error) {
		reported++
	})
	is.NoErr(err)
	is.Equal(reported, 1)
	is.Equal(departedIDs(b), []string{"z"})
}

// Guards against an answer that is used although it is no answer of a source: its fields have
// other types, its numbers are too large, it is nested too deeply, or it has more departed
// targets than a process keeps.
func TestDecodeBatchRejectsOtherTypes(t *testing.T) {
	for name, text := range map[string]string{
		"age as text":   `{"Departed":[{"Target":` + goodTarget + `,"Age":"5s"}]}`,
		"age too long":  `{"Departed":[{"Target":` + goodTarget + `,"Age":92233720368547758080}]}`,
		"no list":       `{"Departed":{"Target":` + goodTarget + `}}`,
		"too many":      `{"Departed":[` + strings.Repeat(`{"Target":`+goodTarget+`},`, catalog.MaxDeparted) + `{"Target":` + goodTarget + `}]}`,
		"empty change":  `{"Changes":[{}]}`,
		"deeply nested": `{"Changes":` + strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000) + `}`,
		"port too high": `{"Changes":[{"Target":{"ID":"x","Address":"10.0.0.1:65536"}}]}`,
		"number":        `{"Revision":1e30}`,
		"negative age":  `{"Age":-1}`,
	} {
		_, err := decodeBatch([]byte(text), failOnInvalid(t))
		if !errors.Is(err, ErrInvalidAnswer) {
			t.Errorf("%s: %v", name, err)
		}
	}
	is := is.New(t)
	_, err := decodeBatch([]byte(`{"Departed":null}`), failOnInvalid(t))
	is.NoErr(err)
	b, err := decodeBatch([]byte(`{"Departed":[null]}`), func(error) {})
	is.NoErr(err)
	is.Equal(len(b.Departed), 0)
}

// Guards against a list of targets that counts as confirmed in the future, because the age of its
// confirmation overflows when the time of the delivery is added.
func TestLargeAgeDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	b, err := decodeBatch([]byte(`{"Current":true,"Age":9223372036854775807}`), failOnInvalid(t))
	is.NoErr(err)
	is.True(b.Age > time.Hour)
	is.True(b.Age+time.Hour > 0)
}
