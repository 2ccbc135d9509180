package consul

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// TestValueErrors guards against failures and oversized values that are returned as
// valid tickets.
func TestValueErrors(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		err    error
	}{
		{name: "good", status: 200, body: "Ticket: 1"},
		{name: "longest", status: 200, body: strings.Repeat("x", MaxValueBytes)},
		{name: "too long", status: 200, body: strings.Repeat("x", MaxValueBytes+1), err: ErrTooLong},
		{name: "missing", status: 404, err: ErrNotFound},
		{name: "rate limit", status: 429, err: ErrRateLimit},
		{name: "down", status: 500, err: ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()

			b, _, err := (&Client{URL: s.URL}).Value(context.Background(), Prefix+"1")
			is.True(errors.Is(err, c.err) || err == nil && c.err == nil)
			if c.err == nil {
				is.Equal(string(b), c.body)
			}
		})
	}
}

// TestMalformedListsRejected guards against responses that do not match the API but
// are accepted as lists.
func TestMalformedListsRejected(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"Key": 1}`)
	}))
	defer s.Close()

	c := &Client{URL: s.URL}
	_, _, err := c.Keys(context.Background(), Prefix, 0, 0)
	is.True(errors.Is(err, ErrMalformed))
	_, err = c.VMs(context.Background(), Service)
	is.True(errors.Is(err, ErrMalformed))
}
