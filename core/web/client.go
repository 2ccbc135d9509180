package web

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// Client makes GET calls to one address. NewClient returns one.
type Client struct {
	address netip.AddrPort
	http    *http.Client
	limit   int64
}

// NewClient returns a client that gives up opening a connection after dialTime and
// reads at most limit bytes of an answer.
func NewClient(a netip.AddrPort, dialTime time.Duration, limit int64) *Client {
	d := net.Dialer{
		Timeout: dialTime,
	}

	return &Client{
		address: a,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:  d.DialContext,
				MaxIdleConns: 1,
			},
		},
		limit: limit,
	}
}

// Address returns the address that is called.
func (c *Client) Address() netip.AddrPort {
	return c.address
}

// Get makes a call with the deadline of its context, and returns the status and
// the body of the answer.
func (c *Client) Get(ctx context.Context, path string, q url.Values) (int, []byte, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     c.address.String(),
		Path:     path,
		RawQuery: q.Encode(),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	a, err := c.http.Do(r)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, c.limit))

	return a.StatusCode, b, errors.Trace(err)
}

// Disconnect closes the idle connection, so that the next call opens another one.
func (c *Client) Disconnect() {
	c.http.CloseIdleConnections()
}
