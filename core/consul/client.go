// Package consul reads tickets and the list of VMs through the Consul HTTP
// API. It never writes.
package consul

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// MaxValueBytes is the largest value that is accepted, in bytes.
	MaxValueBytes = 1_000_000
	// maxListBytes bounds the lists of keys and of VMs.
	maxListBytes = 8_000_000
	// answerTime is what a call may take beyond the wait of a blocking query.
	answerTime  = 5 * time.Second
	headerIndex = "X-Consul-Index"
)

// Sentinel errors of this package.
const (
	ErrUnavailable = errors.ConstError("configuration service is not available")
	ErrRateLimit   = errors.ConstError("configuration service refused the rate of calls")
	ErrNotFound    = errors.ConstError("no such key")
	ErrTooLong     = errors.ConstError("value is longer than 1 MB")
	ErrMalformed   = errors.ConstError("answer is not in the form of the API")
)

// Client reads from one service at a bounded rate. Set URL before use and do
// not copy it afterwards.
type Client struct {
	// URL is the base URL, such as http://127.0.0.1:8500.
	URL string
	// HTTP makes the calls; by default http.DefaultClient.
	HTTP *http.Client

	clock clock
}

// Keys returns the keys under prefix and the index of the list. With wait
// above zero it blocks until the index is above after, at most for wait.
func (c *Client) Keys(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]string, uint64, error) {
	q := "?keys"
	if wait > 0 && after > 0 {
		q += "&index=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	}
	b, h, err := c.get(ctx, "/v1/kv/"+escape(prefix)+q, wait, maxListBytes)
	if errors.Is(err, ErrNotFound) {
		return nil, indexOf(h), nil
	}
	if err != nil {
		return nil, 0, err
	}

	keys := []string{}
	if err := json.Unmarshal(b, &keys); err != nil {
		return nil, 0, errors.WithType(errors.Annotate(err, "list of keys"), ErrMalformed)
	}

	return keys, indexOf(h), nil
}

// Value returns the value of a key and the index of its last change.
func (c *Client) Value(ctx context.Context, key string) ([]byte, uint64, error) {
	b, h, err := c.get(ctx, "/v1/kv/"+escape(key)+"?raw", 0, MaxValueBytes)

	return b, indexOf(h), err
}

// VM is one row of the list of VMs.
type VM struct {
	Addr netip.AddrPort
	Zone string
	// Role is "entry" or "agent".
	Role string
}

// VMs returns the list of VMs of a service. Rows without an IP address are left out.
func (c *Client) VMs(ctx context.Context, service string) ([]VM, error) {
	b, _, err := c.get(ctx, "/v1/catalog/service/"+escape(service), 0, maxListBytes)
	if err != nil {
		return nil, err
	}

	rows := []struct {
		ServiceAddress string
		ServicePort    uint16
		ServiceMeta    struct {
			Zone string
			Role string
		}
	}{}
	if err := json.Unmarshal(b, &rows); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "list of VMs"), ErrMalformed)
	}
	vms := make([]VM, 0, len(rows))
	for _, r := range rows {
		a, err := netip.ParseAddr(r.ServiceAddress)
		if err != nil {
			continue
		}
		vms = append(vms, VM{
			Addr: netip.AddrPortFrom(a, r.ServicePort),
			Zone: r.ServiceMeta.Zone,
			Role: r.ServiceMeta.Role,
		})
	}

	return vms, nil
}

// escape keeps the slashes of a key.
func escape(key string) string {
	return (&url.URL{
		Path: key,
	}).EscapedPath()
}

// indexOf returns the index in a header. The API says that an index below 1
// must be taken as 1.
func indexOf(h http.Header) uint64 {
	n, err := strconv.ParseUint(h.Get(headerIndex), 10, 64)
	if err != nil || n == 0 {
		return 1
	}

	return n
}

// get makes one call when the pace allows it.
func (c *Client) get(ctx context.Context, path string, wait time.Duration, limit int64) ([]byte, http.Header, error) {
	if err := c.clock.wait(ctx); err != nil {
		return nil, nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+wait/16+answerTime)
	defer cancel()

	b, h, err := c.fetch(ctx, path, limit)
	c.clock.done(err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrTooLong))

	return b, h, err
}

func (c *Client) fetch(ctx context.Context, path string, limit int64) ([]byte, http.Header, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+path, nil)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	a, err := c.http().Do(r)
	if err != nil {
		return nil, nil, errors.WithType(err, ErrUnavailable)
	}
	defer a.Body.Close()

	switch a.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, a.Header, ErrNotFound
	case http.StatusTooManyRequests:
		return nil, nil, ErrRateLimit
	default:
		return nil, nil, errors.Annotate(ErrUnavailable, a.Status)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, nil, errors.WithType(err, ErrUnavailable)
	}
	if int64(len(b)) > limit {
		return nil, a.Header, ErrTooLong
	}

	return b, a.Header, nil
}

func (c *Client) http() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}

	return c.HTTP
}
