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
	// maxConnections bounds the connections that are served at a time; more
	// are closed at once.
	maxConnections = 64
	// connectionLife bounds a connection; callers open one for each call.
	connectionLife = 10 * time.Second
)

// Method answers one call. Params is the caller's JSON.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of other processes. It is a kernel.Runner.
type Server struct {
	// Drops counts what was rejected, by reason.
	Drops Drops

	listener net.Listener
	keys     *keyring.Keyring
	methods  map[string]Method
	slots    chan struct{}
}

// NewServer returns a server on an open listener, which Run closes.
func NewServer(l net.Listener, keys *keyring.Keyring) *Server {
	return &Server{
		listener: l,
		keys:     keys,
		methods:  map[string]Method{},
		slots:    make(chan struct{}, maxConnections),
	}
}

// Register adds a method. It must not be called after Run.
func (s *Server) Register(name string, m Method) {
	s.methods[name] = m
}

// RegisterWire passes the messages that come with SendWire to f. Messages that
// can't be decoded are counted in Drops.
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

// Run serves until ctx is done, then closes all connections and waits for them.
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
		case s.slots <- struct{}{}:
			g.Go(func() {
				s.serve(ctx, conn)
				<-s.slots
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
	if err := conn.SetDeadline(time.Now().Add(connectionLife)); err != nil {
		return
	}

	t, err := newStream(conn, s.keys, false, &s.Drops)
	if err != nil {
		return
	}
	c := jsonrpc2.NewConn(ctx, t, jsonrpc2.HandlerWithError(s.handle), silent())
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
