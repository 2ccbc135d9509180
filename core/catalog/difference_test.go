package catalog

import (
	"testing"

	"github.com/matryer/is"
)

func names(list []Member) []string {
	names := []string{}
	for _, m := range list {
		names = append(names, m.ID+" "+m.Address.String())
	}

	return names
}

// Guards against log lines that do not show which targets were added, removed or departed.
func TestDifference(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1), target("b", "10.0.0.2:80", 1), target("c", "10.0.0.3:80", 1))
	first := s.Snapshot()
	d := first.Since(nil)
	is.Equal(names(d.Added), []string{"a 10.0.0.1:80", "b 10.0.0.2:80", "c 10.0.0.3:80"})
	d = first.Since(first)
	is.True(d.Empty())

	s.Apply(0, listing(target("b", "10.0.0.4:80", 1), target("c", "10.0.0.3:80", 1)))
	d = s.Snapshot().Since(first)
	is.True(!d.Empty())
	is.Equal(names(d.Added), []string{"b 10.0.0.4:80"})
	is.Equal(names(d.Removed), []string{"a 10.0.0.1:80", "b 10.0.0.2:80"})
	is.Equal(names(d.Departed), []string{"a 10.0.0.1:80", "b 10.0.0.2:80"})
}
