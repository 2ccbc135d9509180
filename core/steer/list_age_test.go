package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reset based on a list that the configuration service confirmed more than
// SpreadTime ago: the age of a confirmation counts. A confirmation that arrives late does
// not make the list older.
func TestListAgeCountsFromServiceAnswer(t *testing.T) {
	is := is.New(t)
	const age = 1500 * time.Millisecond
	c := newTestCore(1)
	now := 10 * time.Second
	for _, m := range []Message{
		CatalogConfirmed{
			Age: age,
		},
		CatalogChanged{
			Snapshot:  c.snapshot,
			Confirmed: true,
			Age:       age,
		},
	} {
		now += 10 * time.Second
		c.Update(now, m)
		is.True(c.listCurrent(now + c.Policy.SpreadTime - age))
		is.True(!c.listCurrent(now + c.Policy.SpreadTime - age + time.Millisecond))
	}
	c.Update(now+time.Millisecond, CatalogConfirmed{
		Age: 2 * age,
	})
	is.Equal(c.listAge(now), age)
}
