package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
)

const (
	// maxConnections bounds the connections that are served at a time; further
	// ones are closed on arrival.
	maxConnections = 64
	// maxConnectionLifetime bounds the time for which a connection is served. A
	// client opens one for each call.
	maxConnectionLifetime = 10 * time.Second
)

// Method answers one call and returns the result to be encoded as JSON. Params is
// the JSON of the client, or null if it sent none.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of other processes. It implements kernel.Runner.
type Server struct {
	// Drops counts rejected messages by reason.
	Drops Drops

	listener net.Listener
	keys     *keyring.Keyring
	methods  map[string]Method
	// semaphore holds one element for each connection that is being served.
	semaphore chan struct{}
}

// NewServer returns a server on the listener l, which Run closes.
func NewServer(l net.Listener, keys *keyring.Keyring) *Server {
	return &Server{
		listener:  l,
		keys:      keys,
		methods:   map[string]Method{},
		semaphore: make(chan struct{}, maxConnections),
	}
}

// Register adds a method. It must be called before Run.
func (s *Server) Register(name string, m Method) {
	s.methods[name] = m
}

// RegisterWire registers MethodWire, which passes the messages that SendWire sends
// to f. Messages that cannot be decoded are counted in Drops.
func (s *Server) RegisterWire(f func(mesh.Received)) {
	s.Register(MethodWire, func(_ context.Context, params json.RawMessage) (any, error) {
		p := wireParams{}
		if err := json.Unmarshal(params, &p); err != nil || !p.From.IsValid() {
			s.Drops.Count(ErrMalformed)

			return nil, ErrMalformed
		}
		m, err := DecodeWire(p.Body)
		if err != nil {
			s.Drops.Count(err)

			return nil, err
		}
		f(mesh.Received{
			From: p.From,
			Body: m,
		})

		return struct{}{}, nil
	})
}

// Run serves until ctx is done, then closes all connections and waits for their
// goroutines. It returns the error of a failed listener.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()

	g := sync.WaitGroup{}
	defer g.Wait()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			cancel()

			return errors.Annotate(err, "accept")
		}
		select {
		case s.semaphore <- struct{}{}:
			g.Go(func() {
				s.serve(ctx, conn)
				<-s.semaphore
			})
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(maxConnectionLifetime)); err != nil {
		return
	}

	t, err := newStream(conn, s.keys, false, &s.Drops)
	if err != nil {
		return
	}
	c := jsonrpc2.NewConn(ctx, t, jsonrpc2.HandlerWithError(s.handle), discardLog())
	<-c.DisconnectNotify()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	m, ok := s.methods[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "no method " + r.Method,
		}
	}
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}

	return m(ctx, params)
}
