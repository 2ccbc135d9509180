package echo

import (
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func expected() Answer {
	return Answer{
		Service: 1,
		Flow:    2,
		Request: 3,
		Target:  4,
		Part:    1,
		Parts:   2,
	}
}

// TestCheck guards against accepting an answer of another service, to another request or with
// another part number, and against accepting a corrupted or truncated one.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(a *Answer)
		cut    int
		flip   bool
		err    error
	}{
		{name: "own", change: func(*Answer) {}},
		{name: "other target", change: func(a *Answer) { a.Target = 9 }},
		{name: "service", change: func(a *Answer) { a.Service = 9 }, err: ErrWrongService},
		{name: "flow", change: func(a *Answer) { a.Flow = 9 }, err: ErrWrongRequest},
		{name: "request", change: func(a *Answer) { a.Request = 9 }, err: ErrWrongRequest},
		{name: "part", change: func(a *Answer) { a.Part = 0 }, err: ErrWrongRequest},
		{name: "parts", change: func(a *Answer) { a.Parts = 3 }, err: ErrWrongRequest},
		{name: "changed", change: func(*Answer) {}, flip: true, err: ErrFiller},
		{name: "short", change: func(*Answer) {}, cut: 20, err: ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := expected()
			c.change(&a)
			b := a.Append(nil, 10)
			if c.flip {
				b[len(b)-1] ^= 1
			}
			expect := expected()
			err := expect.Check(b[:len(b)-c.cut])
			is.True(errors.Is(err, c.err) || err == nil && c.err == nil)
		})
	}
}
