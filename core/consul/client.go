// Package consul reads tickets and the list of VMs through the Consul HTTP API. It
// decides when a process may call the service and which values it reads. The package
// never writes to the service.
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
	// MaxValueBytes is the length of the longest value that is accepted, in bytes.
	MaxValueBytes = 1_000_000
	// maxListBytes bounds the response with a list of keys or VMs, in bytes.
	maxListBytes = 8_000_000
	// maxAnswerTime bounds the time that a call takes beyond the wait of a blocking
	// query.
	maxAnswerTime = 5 * time.Second
	// indexHeader is the header with the index of a value or list, which rises when it
	// changes.
	indexHeader = "X-Consul-Index"
)

// Sentinel errors of this package.
const (
	ErrUnavailable = errors.ConstError("configuration service unavailable")
	ErrRateLimit   = errors.ConstError("configuration service rate limit exceeded")
	ErrNotFound    = errors.ConstError("key not found")
	ErrTooLong     = errors.ConstError("value longer than 1 MB")
	ErrMalformed   = errors.ConstError("response does not match the Consul API")
)

// Client reads from one Consul service at a limited rate. It must not be copied after
// first use.
type Client struct {
	// URL is the base URL, such as http://127.0.0.1:8500. It must be set before use.
	URL string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client

	throttle throttle
}

// Keys returns the keys under prefix and the index of the list. With wait and after
// above zero it is a blocking query, which returns when the index is above after or
// when wait has passed. If there are no keys, the list is nil without an error.
func (c *Client) Keys(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]string, uint64, error) {
	q := "?keys"
	if wait > 0 && after > 0 {
		q += "&index=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	}
	b, h, err := c.get(ctx, "/v1/kv/"+escapePath(prefix)+q, wait, maxListBytes)
	if errors.Is(err, ErrNotFound) {
		return nil, parseIndex(h), nil
	}
	if err != nil {
		return nil, 0, err
	}

	keys := []string{}
	if err := json.Unmarshal(b, &keys); err != nil {
		return nil, 0, errors.WithType(errors.Annotate(err, "decode list of keys"), ErrMalformed)
	}

	return keys, parseIndex(h), nil
}

// Value returns the value of a key and the index of its last change. Errors:
// ErrNotFound, ErrTooLong, ErrRateLimit, ErrUnavailable and that of ctx.
func (c *Client) Value(ctx context.Context, key string) ([]byte, uint64, error) {
	b, h, err := c.get(ctx, "/v1/kv/"+escapePath(key)+"?raw", 0, MaxValueBytes)

	return b, parseIndex(h), err
}

// VM is one row of the list of VMs: a process on a VM.
type VM struct {
	Addr netip.AddrPort
	Zone string
	// Role is "entry" or "agent".
	Role string
}

// VMs returns the list of VMs of a service. Rows that name no address and port are skipped,
// as are rows that can't be decoded.
func (c *Client) VMs(ctx context.Context, service string) ([]VM, error) {
	b, _, err := c.get(ctx, "/v1/catalog/service/"+escapePath(service), 0, maxListBytes)
	if err != nil {
		return nil, err
	}

	rows, ok := splitArray(b)
	if !ok {
		return nil, errors.Annotate(ErrMalformed, "decode list of VMs")
	}
	vms := make([]VM, 0, len(rows))
	for _, r := range rows {
		if v, ok := decodeVM(r); ok {
			vms = append(vms, v)
		}
	}

	return vms, nil
}

// decodeVM decodes a row of the list of VMs and reports whether it names a VM.
func decodeVM(row []byte) (VM, bool) {
	r := struct {
		ServiceAddress string
		ServicePort    uint16
		ServiceMeta    struct {
			Zone string
			Role string
		}
	}{}
	if err := json.Unmarshal(row, &r); err != nil {
		return VM{}, false
	}
	a, err := netip.ParseAddr(r.ServiceAddress)
	if err != nil || r.ServicePort == 0 {
		return VM{}, false
	}

	return VM{
		Addr: netip.AddrPortFrom(a, r.ServicePort),
		Zone: r.ServiceMeta.Zone,
		Role: r.ServiceMeta.Role,
	}, true
}

// escapePath escapes a key for the path of a URL but keeps its slashes.
func escapePath(key string) string {
	return (&url.URL{
		Path: key,
	}).EscapedPath()
}

// parseIndex returns the index in the header of a response. The API requires that an
// index below 1 is taken as 1.
func parseIndex(h http.Header) uint64 {
	n, err := strconv.ParseUint(h.Get(indexHeader), 10, 64)
	if err != nil || n == 0 {
		return 1
	}

	return n
}

// get makes one call when the rate limit allows it.
func (c *Client) get(ctx context.Context, path string, wait time.Duration, limit int64) ([]byte, http.Header, error) {
	if err := c.throttle.wait(ctx); err != nil {
		return nil, nil, errors.Trace(err)
	}
	// Consul adds up to wait/16 of jitter to a blocking query.
	ctx, cancel := context.WithTimeout(ctx, wait+wait/16+maxAnswerTime)
	defer cancel()

	b, h, err := c.fetch(ctx, path, limit)
	c.throttle.record(err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrTooLong))

	return b, h, err
}

// fetch makes one call and returns the body, which is at most limit bytes long.
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
