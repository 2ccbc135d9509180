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
	// dialTime bounds the time to open a connection to a source: the way to another
	// zone and back, once more for a lost packet.
	dialTime = 300 * time.Millisecond
	// maxBodyBytes bounds an answer: a configuration of about 1 MB and all targets.
	maxBodyBytes = 8 << 20
)

// Peer is a source as its followers see it. It implements Upstream.
type Peer struct {
	*web.Client
}

// NewPeer returns a client for the source at an address.
func NewPeer(a netip.AddrPort) *Peer {
	return &Peer{
		Client: web.NewClient(a, dialTime, maxBodyBytes),
	}
}

// List implements Upstream.
func (p *Peer) List(ctx context.Context) (Batch, error) {
	return p.batch(ctx, pathListing, nil)
}

// Watch implements Upstream.
func (p *Peer) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	return p.batch(ctx, pathChanges, url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	})
}

func (p *Peer) batch(ctx context.Context, path string, q url.Values) (Batch, error) {
	status, b, err := p.Get(ctx, path, q)
	if err != nil {
		return Batch{}, errors.WithType(err, ErrUnavailable)
	}
	if status != http.StatusOK {
		return Batch{}, errors.Annotatef(ErrUnavailable, "%s: status %d", p.Address(), status)
	}

	return decodeBatch(b)
}
