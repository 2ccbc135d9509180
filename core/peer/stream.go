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

// Limits and layout of a stream. Lengths are in bytes.
const (
	// MaxFrameBytes is the length of the longest payload of a frame. A status with
	// all suspects fits.
	MaxFrameBytes = 256 << 10
	// streamMagic is the first byte of a hello.
	streamMagic = 0xB3
	nonceBytes  = 16
	// helloBytes is the length of the magic byte, the key identifier and the nonce.
	helloBytes = 2 + nonceBytes
	// frameHeaderBytes is the length of the payload length, the sequence number and
	// the MAC.
	frameHeaderBytes = 4 + 8 + 8
)

// Directions of frames. They are part of the MAC, so that a frame that is reflected
// to its sender does not verify.
const (
	fromClient byte = iota + 1
	fromServer
)

// stream is a jsonrpc2.ObjectStream of authenticated frames. It starts with an
// exchange of hellos that carry the nonces of both sides. The MAC of a frame covers
// both nonces, the direction, the sequence number and the payload, so that frames of
// another connection or of the other direction never verify.
type stream struct {
	conn  io.ReadWriteCloser
	keys  *keyring.Keyring
	drops *Drops
	// nonces holds the nonces of both sides, the client's first.
	nonces                          []byte
	sendDirection, receiveDirection byte
	sendKey                         uint8
	receiveKey                      uint8
	sendSequence, receiveSequence   uint64
}

// newStream exchanges hellos on conn. Errors: ErrMalformed, ErrMAC and those of conn.
func newStream(conn io.ReadWriteCloser, keys *keyring.Keyring, client bool, d *Drops) (*stream, error) {
	s := &stream{
		conn:             conn,
		keys:             keys,
		drops:            d,
		sendDirection:    fromServer,
		receiveDirection: fromClient,
		sendKey:          keys.Signer(),
	}
	local := make([]byte, helloBytes)
	local[0] = streamMagic
	local[1] = s.sendKey
	if _, err := rand.Read(local[2:]); err != nil {
		return nil, errors.Trace(err)
	}

	remote, err := s.exchangeHello(local, client)
	if err != nil {
		return nil, s.countDrop(err)
	}
	s.receiveKey = remote[1]
	s.nonces = append(s.nonces, remote[2:]...)
	s.nonces = append(s.nonces, local[2:]...)
	if client {
		s.sendDirection, s.receiveDirection = fromClient, fromServer
		s.nonces = append(bytes.Clone(local[2:]), remote[2:]...)
	}

	return s, nil
}

// exchangeHello sends the local hello and returns the remote one. The client sends
// first. Errors: as newStream.
func (s *stream) exchangeHello(local []byte, client bool) ([]byte, error) {
	if client {
		if _, err := s.conn.Write(local); err != nil {
			return nil, errors.Trace(err)
		}
	}
	remote := make([]byte, helloBytes)
	if _, err := io.ReadFull(s.conn, remote); err != nil {
		return nil, errors.Trace(err)
	}
	if remote[0] != streamMagic {
		return nil, ErrMalformed
	}
	if _, known := s.keys.Sum(keyring.UseStream, remote[1], nil); !known {
		return nil, ErrMAC
	}
	if !client {
		if _, err := s.conn.Write(local); err != nil {
			return nil, errors.Trace(err)
		}
	}

	return remote, nil
}

// countDrop counts err in drops and returns it.
func (s *stream) countDrop(err error) error {
	s.drops.Count(err)

	return err
}

// mac returns the MAC of a frame.
func (s *stream) mac(key uint8, direction byte, sequence uint64, payload []byte) uint64 {
	b := make([]byte, 0, len(s.nonces)+9+len(payload))
	b = append(b, s.nonces...)
	b = append(b, direction)
	b = binary.BigEndian.AppendUint64(b, sequence)
	b = append(b, payload...)
	mac, _ := s.keys.Sum(keyring.UseStream, key, b)

	return mac
}

// WriteObject sends v as JSON in one frame. Errors: ErrTooLong, those of the
// encoding and those of the connection.
func (s *stream) WriteObject(v any) error {
	payload, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	if len(payload) > MaxFrameBytes {
		return ErrTooLong
	}

	b := make([]byte, 0, frameHeaderBytes+len(payload))
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, s.sendSequence)
	b = binary.BigEndian.AppendUint64(b, s.mac(s.sendKey, s.sendDirection, s.sendSequence, payload))
	b = append(b, payload...)
	s.sendSequence++
	_, err = s.conn.Write(b)

	return errors.Trace(err)
}

// ReadObject receives one frame and decodes its JSON into v. Errors: ErrTooLong,
// ErrMAC, ErrSequence, ErrMalformed, io.EOF and those of the connection.
func (s *stream) ReadObject(v any) error {
	payload, err := s.readFrame()
	if err != nil {
		return s.countDrop(err)
	}
	if err := json.Unmarshal(payload, v); err != nil {
		return s.countDrop(ErrMalformed)
	}

	return nil
}

func (s *stream) readFrame() ([]byte, error) {
	var h [frameHeaderBytes]byte

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
	// The buffer grows with the bytes that arrive, because the length in the header is
	// not authenticated yet.
	payload := &bytes.Buffer{}
	if n, err := io.CopyN(payload, s.conn, int64(size)); err != nil || n < int64(size) {
		return nil, ErrMalformed
	}
	sequence := binary.BigEndian.Uint64(h[4:])
	if s.mac(s.receiveKey, s.receiveDirection, sequence, payload.Bytes()) != binary.BigEndian.Uint64(h[12:]) {
		return nil, ErrMAC
	}
	if sequence != s.receiveSequence {
		return nil, ErrSequence
	}
	s.receiveSequence++

	return payload.Bytes(), nil
}

// Close closes the connection.
func (s *stream) Close() error {
	return errors.Trace(s.conn.Close())
}
