package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
)

// CallTimeout bounds each call, including the dial. The context may end it earlier.
const CallTimeout = 5 * time.Second

// discardLog keeps jsonrpc2 from logging connection errors, which Drops counts
// instead.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}

// Call calls a method of the process at addr over a new connection. Params and
// result are encoded as JSON; result may be nil. Errors: those of the connection,
// of the stream and of the method.
func Call(ctx context.Context, addr netip.AddrPort, keys *keyring.Keyring, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()

	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Annotatef(err, "dial %s", addr)
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return errors.Trace(err)
		}
	}

	s, err := newStream(conn, keys, true, &Drops{})
	if err != nil {
		return errors.Annotatef(err, "hello of %s", addr)
	}
	c := jsonrpc2.NewConn(ctx, s, jsonrpc2.HandlerWithError(rejectCalls), discardLog())
	defer func() { _ = c.Close() }()

	return errors.Annotatef(c.Call(ctx, method, params, result), "call %s of %s", method, addr)
}

// rejectCalls answers calls from a server to its client, which has no methods.
func rejectCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeMethodNotFound,
		Message: "no methods",
	}
}

// MethodWire is the method that delivers a message of package mesh.
const MethodWire = "Wire"

// wireParams are the parameters of MethodWire.
type wireParams struct {
	// From is the address at which the sender receives datagrams and calls.
	From netip.AddrPort
	// Body is the message, encoded by AppendWire.
	Body []byte
}

// SendWire sends a message that is too long for a datagram by calling MethodWire.
// From is the address at which the sender receives. Errors: those of Call.
func SendWire(ctx context.Context, from, to netip.AddrPort, keys *keyring.Keyring, m mesh.Wire) error {
	return Call(ctx, to, keys, MethodWire, wireParams{
		From: from,
		Body: AppendWire(nil, m),
	}, nil)
}
