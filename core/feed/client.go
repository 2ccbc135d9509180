package feed

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/web"
)

const (
	// dialTimeout bounds the time to open a connection to a source: a round trip to another
	// zone, with one retransmission.
	dialTimeout = 300 * time.Millisecond
	// maxBodyBytes bounds an answer: a configuration of about 1 MB and all targets.
	maxBodyBytes = 8 << 20
)

// SourceClient is the HTTP client for a source. It implements Upstream.
type SourceClient struct {
	*web.Client
	// reportInvalid is called with the error of each target or configuration that can't be
	// used.
	reportInvalid func(error)
}

// NewSourceClient returns a client for the source at an address. It calls reportInvalid with the
// error of each target or configuration that can't be used.
func NewSourceClient(a netip.AddrPort, reportInvalid func(error)) *SourceClient {
	return &SourceClient{
		Client:        web.NewClient(a, dialTimeout, maxBodyBytes),
		reportInvalid: reportInvalid,
	}
}

// List implements Upstream.
func (c *SourceClient) List(ctx context.Context) (Batch, error) {
	return c.fetch(ctx, pathListing, nil)
}

// Watch implements Upstream.
func (c *SourceClient) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	return c.fetch(ctx, pathChanges, url.Values{
		"era":   {strconv.FormatUint(after.Era, 10)},
		"after": {strconv.FormatUint(after.Revision, 10)},
		"wait":  {wait.String()},
	})
}

func (c *SourceClient) fetch(ctx context.Context, path string, q url.Values) (Batch, error) {
	r, err := c.Get(ctx, path, q)
	if err != nil {
		return Batch{}, errors.WithType(err, ErrUnavailable)
	}
	if r.Status != http.StatusOK {
		return Batch{}, errors.Annotatef(ErrUnavailable, "%s: status %d", c.Address(), r.Status)
	}

	return decodeBatch(r.Body, c.reportInvalid)
}
