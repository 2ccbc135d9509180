// Package echo is the payload of requests and answers between the stand-ins:
// an answer names the request that it belongs to and the target that ran it,
// so that callers can tell whose answer they got and whether it is whole.
package echo

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// Sentinel errors of this package.
const (
	ErrMalformed    = errors.ConstError("payload is malformed")
	ErrWrongService = errors.ConstError("answer is of another service")
	ErrWrongRequest = errors.ConstError("answer is to another request")
	ErrFiller       = errors.ConstError("answer was changed on its way")
)

const (
	requestMagic = 0xA5
	answerMagic  = 0x5A
	requestBytes = 1 + 8 + 1 + 2
	answerBytes  = 1 + 4*8 + 2
)

// Ask is the payload of a request.
type Request struct {
	// Service is the identity of the service that the caller means.
	Service uint64
	// Parts is the number of packets that the answer should have, from 1.
	Parts uint8
	// Bytes is the length of the filler of each part.
	Bytes uint16
}

// Append appends the encoded payload to b.
func (a *Request) Append(b []byte) []byte {
	b = append(b, requestMagic)
	b = binary.BigEndian.AppendUint64(b, a.Service)
	b = append(b, a.Parts)

	return binary.BigEndian.AppendUint16(b, a.Bytes)
}

// Decode reads a payload. Error: ErrMalformed.
func (a *Request) Decode(b []byte) error {
	if len(b) < requestBytes || b[0] != requestMagic {
		return ErrMalformed
	}
	a.Service = binary.BigEndian.Uint64(b[1:])
	a.Parts = b[9]
	a.Bytes = binary.BigEndian.Uint16(b[10:])

	return nil
}

// Answer identifies one part of an answer.
type Answer struct {
	// Service is the identity of the service that the target serves.
	Service uint64
	Flow    uint64
	Request uint64
	// Target is the identity of the target that ran the request.
	Target uint64
	Part   uint8
	Parts  uint8
}

// Append appends the part with n bytes of filler to b.
func (a *Answer) Append(b []byte, fillerBytes int) []byte {
	b = append(b, answerMagic)
	b = binary.BigEndian.AppendUint64(b, a.Service)
	b = binary.BigEndian.AppendUint64(b, a.Flow)
	b = binary.BigEndian.AppendUint64(b, a.Request)
	b = binary.BigEndian.AppendUint64(b, a.Target)
	b = append(b, a.Part, a.Parts)
	for i := range fillerBytes {
		b = append(b, a.filler(i))
	}

	return b
}

func (a *Answer) filler(i int) byte {
	return byte(a.Flow) ^ byte(a.Request) ^ a.Part ^ byte(i)
}

// Check compares a received part with what the caller expects in a; it sets
// Target. Errors: ErrMalformed, ErrWrongService, ErrWrongRequest, ErrFiller.
func (a *Answer) Check(b []byte) error {
	if len(b) < answerBytes || b[0] != answerMagic {
		return ErrMalformed
	}
	if binary.BigEndian.Uint64(b[1:]) != a.Service {
		return ErrWrongService
	}
	if binary.BigEndian.Uint64(b[9:]) != a.Flow || binary.BigEndian.Uint64(b[17:]) != a.Request {
		return ErrWrongRequest
	}
	if b[33] != a.Part || b[34] != a.Parts {
		return ErrWrongRequest
	}
	a.Target = binary.BigEndian.Uint64(b[25:])
	for i, c := range b[answerBytes:] {
		if c != a.filler(i) {
			return ErrFiller
		}
	}

	return nil
}
