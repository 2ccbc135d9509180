package peer

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"ibisfold.example/core/keyring"
)

// Limits and layout of a stream.
const (
	// MaxFrameBytes is the longest frame: a status with all suspects fits.
	MaxFrameBytes = 256 << 10
	streamMark    = 0xB3
	nonceBytes    = 16
	// helloBytes is the mark, the key identifier and the nonce.
	helloBytes = 2 + nonceBytes
	// frameHeader is the length, the sequence number and the MAC.
	frameHeader = 4 + 8 + 8
)

// Directions of frames; a frame that is sent back to its sender fails.
const (
	fromClient byte = iota + 1
	fromServer
)

// stream is a jsonrpc2.ObjectStream of authenticated frames. The MAC covers
// both nonces, the direction, the sequence number and the payload, so that
// frames of another connection or of the other direction never verify.
type stream struct {
	conn  io.ReadWriteCloser
	keys  *keyring.Keyring
	drops *Drops
	// prefix holds both nonces, the client's first.
	prefix          []byte
	sends, receives byte
	sendKey         uint8
	receiveKey      uint8
	sent, received  uint64
}

// newStream exchanges nonces on conn. Errors: ErrMalformed, ErrMAC, those of conn.
func newStream(conn io.ReadWriteCloser, keys *keyring.Keyring, client bool, d *Drops) (*stream, error) {
	s := &stream{
		conn:     conn,
		keys:     keys,
		drops:    d,
		sends:    fromServer,
		receives: fromClient,
		sendKey:  keys.Signer(),
	}
	own := make([]byte, helloBytes)
	own[0] = streamMark
	own[1] = s.sendKey
	if _, err := rand.Read(own[2:]); err != nil {
		return nil, errors.Trace(err)
	}

	other, err := s.hello(own, client)
	if err != nil {
		return nil, s.drop(err)
	}
	s.receiveKey = other[1]
	s.prefix = append(s.prefix, other[2:]...)
	s.prefix = append(s.prefix, own[2:]...)
	if client {
		s.sends, s.receives = fromClient, fromServer
		s.prefix = append(bytes.Clone(own[2:]), other[2:]...)
	}

	return s, nil
}

// hello sends the own hello, the client first, and returns the other side's.
func (s *stream) hello(own []byte, client bool) ([]byte, error) {
	if client {
		if _, err := s.conn.Write(own); err != nil {
			return nil, errors.Trace(err)
		}
	}
	other := make([]byte, helloBytes)
	if _, err := io.ReadFull(s.conn, other); err != nil {
		return nil, errors.Trace(err)
	}
	if other[0] != streamMark {
		return nil, ErrMalformed
	}
	if _, known := s.keys.Sum(keyring.UseStream, other[1], nil); !known {
		return nil, ErrMAC
	}
	if !client {
		if _, err := s.conn.Write(own); err != nil {
			return nil, errors.Trace(err)
		}
	}

	return other, nil
}

func (s *stream) drop(err error) error {
	s.drops.Count(err)

	return err
}

func (s *stream) mac(key uint8, direction byte, sequence uint64, payload []byte) uint64 {
	b := make([]byte, 0, len(s.prefix)+9+len(payload))
	b = append(b, s.prefix...)
	b = append(b, direction)
	b = binary.BigEndian.AppendUint64(b, sequence)
	b = append(b, payload...)
	mac, _ := s.keys.Sum(keyring.UseStream, key, b)

	return mac
}

// WriteObject sends one frame. Error: ErrTooLong and those of the connection.
func (s *stream) WriteObject(v any) error {
	payload, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	if len(payload) > MaxFrameBytes {
		return ErrTooLong
	}

	b := make([]byte, 0, frameHeader+len(payload))
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, s.sent)
	b = binary.BigEndian.AppendUint64(b, s.mac(s.sendKey, s.sends, s.sent, payload))
	b = append(b, payload...)
	s.sent++
	_, err = s.conn.Write(b)

	return errors.Trace(err)
}

// ReadObject receives one frame. Errors: ErrTooLong, ErrMAC, ErrSequence,
// ErrMalformed, io.EOF and those of the connection.
func (s *stream) ReadObject(v any) error {
	payload, err := s.readFrame()
	if err != nil {
		return s.drop(err)
	}
	if err := json.Unmarshal(payload, v); err != nil {
		return s.drop(ErrMalformed)
	}

	return nil
}

func (s *stream) readFrame() ([]byte, error) {
	var h [frameHeader]byte

	if _, err := io.ReadFull(s.conn, h[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrMalformed
		}

		return nil, err
	}
	size := binary.BigEndian.Uint32(h[:])
	if size > MaxFrameBytes {
		return nil, ErrTooLong
	}
	// The buffer grows with what arrives, not with what the header claims.
	payload := &bytes.Buffer{}
	if n, err := io.CopyN(payload, s.conn, int64(size)); err != nil || n < int64(size) {
		return nil, ErrMalformed
	}
	sequence := binary.BigEndian.Uint64(h[4:])
	if s.mac(s.receiveKey, s.receives, sequence, payload.Bytes()) != binary.BigEndian.Uint64(h[12:]) {
		return nil, ErrMAC
	}
	if sequence != s.received {
		return nil, ErrSequence
	}
	s.received++

	return payload.Bytes(), nil
}

// Close closes the connection.
func (s *stream) Close() error {
	return errors.Trace(s.conn.Close())
}
