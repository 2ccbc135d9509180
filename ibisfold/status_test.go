package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/peer"
)

// fakeClock advances only in Sleep.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) Sleep(_ context.Context, d time.Duration) { c.now = c.now.Add(d) }

// responses maps the IP address of a process to its answers, one for each pollInterval.
// The last one repeats, and a zero ticket means that the process does not answer.
type responses map[string][]peer.Status

func (r responses) status(clock *fakeClock, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	c := newStatusCommand(output{
		out: &out,
		err: &errs,
	})
	start := clock.now
	c.clock = clock
	c.call = func(_ context.Context, a netip.AddrPort, _ *keyring.Keyring) (peer.Status, error) {
		l := r[a.Addr().String()]
		s := l[min(int(clock.now.Sub(start)/pollInterval), len(l)-1)]
		if s.Ticket == 0 {
			return s, errors.New("connection refused")
		}

		return s, nil
	}
	args = append([]string{"status", "--keys", "../examples/eisweinruf/settings/entry-iphofen.yaml"}, args...)

	return runCommand(context.Background(), c, args), out.String(), errs.String()
}

func statusAt(n uint64, digest string) peer.Status {
	return peer.Status{
		Ticket: n,
		Digest: digest,
	}
}

// Guards against a wait that ends too early: while a process does not answer, has only a
// lower ticket, or has a higher ticket but lacks a lower one, so that digests differ.
func TestStatusWaits(t *testing.T) {
	cases := map[string]struct {
		answers responses
		code    int
	}{
		"at once":        {responses{"127.0.0.1": {statusAt(4, "a")}, "127.0.0.2": {statusAt(4, "a")}}, 0},
		"after progress": {responses{"127.0.0.1": {statusAt(4, "a")}, "127.0.0.2": {statusAt(3, "b"), statusAt(0, ""), statusAt(4, "a")}}, 0},
		"higher":         {responses{"127.0.0.1": {statusAt(5, "c")}, "127.0.0.2": {statusAt(3, "b"), statusAt(5, "c")}}, 0},
		"silent":         {responses{"127.0.0.1": {statusAt(4, "a")}, "127.0.0.2": {statusAt(0, "")}}, 1},
		"first silent":   {responses{"127.0.0.1": {statusAt(0, "")}, "127.0.0.2": {statusAt(4, "a")}}, 1},
		"lower":          {responses{"127.0.0.1": {statusAt(4, "a")}, "127.0.0.2": {statusAt(3, "b")}}, 1},
		"misses one":     {responses{"127.0.0.1": {statusAt(5, "c")}, "127.0.0.2": {statusAt(5, "d")}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{}
			code, out, _ := c.answers.status(clock, "127.0.0.1:1", "127.0.0.2:1", "--wait", "4", "--timeout", "5s")
			is.Equal(code, c.code)
			is.Equal(strings.Count(out, "\n"), 3)
			is.True(clock.now.Sub(time.Time{}) <= 5*time.Second)
		})
	}
}

// Guards against JSON that scripts can't decode, and against progress lines in it.
func TestStatusJSON(t *testing.T) {
	is := is.New(t)
	r := responses{"127.0.0.1": {statusAt(3, "a"), statusAt(4, "a")}, "127.0.0.2": {statusAt(4, "a")}}
	code, out, errs := r.status(&fakeClock{}, "127.0.0.1:1", "127.0.0.2:1", "--json", "--wait", "4")
	is.Equal(code, 0)
	is.True(strings.Contains(errs, "1 of 2 processes have ticket 4"))
	answers := []answer{}
	is.NoErr(json.Unmarshal([]byte(out), &answers))
	is.Equal(answers[0].Status.Ticket, uint64(4))
}
