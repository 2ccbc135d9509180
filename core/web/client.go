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

// Client makes GET requests to one address. Use NewClient to create one.
type Client struct {
	address      netip.AddrPort
	http         *http.Client
	maxBodyBytes int64
}

// NewClient returns a client that waits at most dialTimeout for a connection and reads at
// most maxBodyBytes of a response body. A longer body is truncated without an error.
func NewClient(a netip.AddrPort, dialTimeout time.Duration, maxBodyBytes int64) *Client {
	d := net.Dialer{
		Timeout: dialTimeout,
	}

	return &Client{
		address: a,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:  d.DialContext,
				MaxIdleConns: 1,
			},
		},
		maxBodyBytes: maxBodyBytes,
	}
}

// Address returns the address to which requests are sent.
func (c *Client) Address() netip.AddrPort {
	return c.address
}

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get makes a request with the deadline of ctx.
func (c *Client) Get(ctx context.Context, path string, q url.Values) (Response, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     c.address.String(),
		Path:     path,
		RawQuery: q.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, c.maxBodyBytes))

	return Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   b,
	}, errors.Trace(err)
}

// Disconnect closes the idle connection, so that the next request opens a new one.
func (c *Client) Disconnect() {
	c.http.CloseIdleConnections()
}
