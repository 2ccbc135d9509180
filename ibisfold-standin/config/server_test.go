package config

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/consul"
)

func serve(t *testing.T) (*Server, *consul.Watcher) {
	t.Helper()
	s := &Server{
		Store: &Store{},
		VMs:   &VMs{},
	}
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)

	return s, &consul.Watcher{
		Client: &consul.Client{
			URL: h.URL,
		},
	}
}

func texts(b [][]byte) []string {
	s := []string{}
	for _, x := range b {
		s = append(s, string(x))
	}

	return s
}

// TestWatcherReadsUnseen guards against a watcher that reads all tickets again at each change,
// which wastes calls, or that misses tickets.
func TestWatcherReadsUnseen(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, w := serve(t)
	is.NoErr(s.Store.Publish(Prefix+"0001", []byte("one")))
	is.NoErr(s.Store.Publish(Prefix+"0002", []byte("two")))

	got, err := w.Tickets(ctx, time.Minute)
	is.NoErr(err)
	is.Equal(texts(got), []string{"two", "one"})

	is.NoErr(s.Store.Publish(Prefix+"0003", []byte("three")))
	got, err = w.Tickets(ctx, time.Minute)
	is.NoErr(err)
	is.Equal(texts(got), []string{"three"})
	is.Equal(s.Store.Calls(), 5)
}

// TestWatcherSeesRepairAndRollBack guards against a watcher that never reads a truncated value
// again, and against one that gets stuck when the index goes backwards.
func TestWatcherSeesRepairAndRollBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, w := serve(t)
	w.Valid = func(b []byte) bool { return len(b) > 2 }
	is.NoErr(s.Store.Publish(Prefix+"0001", []byte("one")))
	is.NoErr(s.Store.Truncate(Prefix+"0001", 1))
	got, err := w.Tickets(ctx, time.Minute)
	is.NoErr(err)
	is.Equal(texts(got), []string{"o"})

	// The index is now below the one that the watch waits for, so the service answers only when
	// the wait time is over.
	is.NoErr(s.Store.RollBack(Prefix + "0001"))
	got, err = w.Tickets(ctx, time.Millisecond)
	is.NoErr(err)
	is.Equal(texts(got), []string{"one"})
	is.True(errors.Is(s.Store.RollBack(Prefix+"0001"), ErrNoPreviousValue))
}

// TestWatchEndsAtChange guards against a watch that misses a change between reading the keys and
// blocking.
func TestWatchEndsAtChange(t *testing.T) {
	is := is.New(t)
	s, w := serve(t)
	is.NoErr(s.Store.Publish(Prefix+"0001", []byte("one")))
	_, err := w.Tickets(context.Background(), time.Minute)
	is.NoErr(err)

	go func() {
		_ = s.Store.Publish(Prefix+"0002", []byte("two"))
	}()
	got, err := w.Tickets(context.Background(), time.Hour)
	is.NoErr(err)
	is.Equal(texts(got), []string{"two"})
}

// TestFaults guards against a stale service that shows new tickets, and against a watcher that
// takes an error of the service for an answer.
func TestFaults(t *testing.T) {
	is := is.New(t)
	s, w := serve(t)
	is.NoErr(s.Store.Publish(Prefix+"0001", []byte("one")))
	s.Store.SetStale(true)
	is.NoErr(s.Store.Publish(Prefix+"0002", []byte("two")))
	got, err := w.Tickets(context.Background(), 0)
	is.NoErr(err)
	is.Equal(texts(got), []string{"one"})

	s.Store.SetDown(true)
	_, err = w.Tickets(context.Background(), 0)
	is.True(errors.Is(err, consul.ErrUnavailable))
}

// TestRateLimit guards against a service that accepts more calls than the real one.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	b := &tokenBucket{}
	now := time.Unix(1, 0)
	for range MaxCallsPerSecond {
		is.True(b.take(now))
	}
	is.True(!b.take(now))
	is.True(b.take(now.Add(time.Millisecond)))
}

// TestVMListLags guards against a list without its simulated faults: lag, VMs that stay after they
// left, and VMs that are missing.
func TestVMListLags(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := &VMs{
		Lag: 5 * time.Second,
		Now: func() time.Time { return now },
	}
	vm := func(s string) VM {
		return VM{
			Addr: netip.MustParseAddrPort(s),
			Zone: "iphofen",
			Role: "agent",
		}
	}
	a, b, c := vm("127.2.1.1:7100"), vm("127.2.1.2:7100"), vm("127.2.1.3:7100")
	v.Join(a)
	v.Join(b)
	v.Join(c)
	is.Equal(len(v.List(consul.Service)), 0)
	now = now.Add(5 * time.Second)
	is.Equal(len(v.List(consul.Service)), 3)

	v.Leave(a)
	v.Leave(b)
	v.Pin(a.Addr)
	v.Hide(c.Addr)
	now = now.Add(5 * time.Second)
	rows := v.List(consul.Service)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].ServiceAddress, "127.2.1.1")
}

// TestAdmin guards against an admin endpoint that accepts invalid requests.
func TestAdmin(t *testing.T) {
	cases := []struct {
		path   string
		status int
	}{
		{path: "publish?key=a", status: http.StatusOK},
		{path: "truncate?key=a&bytes=1", status: http.StatusOK},
		{path: "truncate?key=a&bytes=-1", status: http.StatusBadRequest},
		{path: "rollback?key=b", status: http.StatusBadRequest},
		{path: "stale?on=true", status: http.StatusOK},
		{path: "other", status: http.StatusBadRequest},
	}
	s, _ := serve(t)
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/admin/"+c.path, http.NoBody))
			is.Equal(w.Code, c.status)
		})
	}
}
