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

// fakeClock moves only when someone sleeps.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) Sleep(_ context.Context, d time.Duration) { c.now = c.now.Add(d) }

// history maps the host part of an address to its answers over time; the last
// one repeats, and a zero ticket means that the process does not answer.
type history map[string][]peer.Status

func (h history) status(clock *fakeClock, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	c := newStatusCommand(output{
		out: &out,
		err: &errs,
	})
	start := clock.now
	c.clock = clock
	c.call = func(_ context.Context, a netip.AddrPort, _ *keyring.Keyring) (peer.Status, error) {
		l := h[a.Addr().String()]
		s := l[min(int(clock.now.Sub(start)/pollInterval), len(l)-1)]
		if s.Ticket == 0 {
			return s, errors.New("connection refused")
		}

		return s, nil
	}
	args = append([]string{"status", "--keys", "../examples/eisweinruf/settings/entry-iphofen.yaml"}, args...)

	return runCommand(context.Background(), c, args), out.String(), errs.String()
}

func at(n uint64, digest string) peer.Status {
	return peer.Status{
		Ticket: n,
		Digest: digest,
	}
}

// Guards against a wait that ends too early: while a process is silent, has a
// lower ticket, or has a higher ticket but misses one (another digest).
func TestStatusWaits(t *testing.T) {
	cases := map[string]struct {
		h    history
		code int
	}{
		"at once":        {history{"127.0.0.1": {at(4, "a")}, "127.0.0.2": {at(4, "a")}}, 0},
		"after progress": {history{"127.0.0.1": {at(4, "a")}, "127.0.0.2": {at(3, "b"), at(0, ""), at(4, "a")}}, 0},
		"higher":         {history{"127.0.0.1": {at(5, "c")}, "127.0.0.2": {at(3, "b"), at(5, "c")}}, 0},
		"silent":         {history{"127.0.0.1": {at(4, "a")}, "127.0.0.2": {at(0, "")}}, 1},
		"first silent":   {history{"127.0.0.1": {at(0, "")}, "127.0.0.2": {at(4, "a")}}, 1},
		"lower":          {history{"127.0.0.1": {at(4, "a")}, "127.0.0.2": {at(3, "b")}}, 1},
		"misses one":     {history{"127.0.0.1": {at(5, "c")}, "127.0.0.2": {at(5, "d")}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{}
			code, out, _ := c.h.status(clock, "127.0.0.1:1", "127.0.0.2:1", "--wait", "4", "--timeout", "5s")
			is.Equal(code, c.code)
			is.Equal(strings.Count(out, "\n"), 3)
			is.True(clock.now.Sub(time.Time{}) <= 5*time.Second)
		})
	}
}

// Guards against JSON that scripts can't read, and against progress in it.
func TestStatusJSON(t *testing.T) {
	is := is.New(t)
	h := history{"127.0.0.1": {at(3, "a"), at(4, "a")}, "127.0.0.2": {at(4, "a")}}
	code, out, errs := h.status(&fakeClock{}, "127.0.0.1:1", "127.0.0.2:1", "--json", "--wait", "4")
	is.Equal(code, 0)
	is.True(strings.Contains(errs, "1 of 2 processes have ticket 4"))
	answers := []answer{}
	is.NoErr(json.Unmarshal([]byte(out), &answers))
	is.Equal(answers[0].Status.Ticket, uint64(4))
}
