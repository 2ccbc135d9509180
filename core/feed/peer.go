package feed

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
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
	address netip.AddrPort
	http    *http.Client
}

// NewPeer returns a client for the source at an address.
func NewPeer(a netip.AddrPort) *Peer {
	d := net.Dialer{
		Timeout: dialTime,
	}

	return &Peer{
		address: a,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:  d.DialContext,
				MaxIdleConns: 1,
			},
		},
	}
}

// List implements Upstream.
func (p *Peer) List(ctx context.Context) (Batch, error) {
	return p.get(ctx, pathListing, nil)
}

// Watch implements Upstream.
func (p *Peer) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	return p.get(ctx, pathChanges, url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	})
}

// Disconnect implements Upstream.
func (p *Peer) Disconnect() {
	p.http.CloseIdleConnections()
}

func (p *Peer) get(ctx context.Context, path string, q url.Values) (Batch, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     p.address.String(),
		Path:     path,
		RawQuery: q.Encode(),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Batch{}, errors.Trace(err)
	}
	a, err := p.http.Do(r)
	if err != nil {
		return Batch{}, errors.WithType(err, ErrUnavailable)
	}
	defer a.Body.Close()

	b, err := io.ReadAll(io.LimitReader(a.Body, maxBodyBytes))
	if err != nil {
		return Batch{}, errors.WithType(err, ErrUnavailable)
	}
	if a.StatusCode != http.StatusOK {
		return Batch{}, errors.Annotatef(ErrUnavailable, "source %v: status %d", p.address, a.StatusCode)
	}

	return decodeBatch(b)
}
