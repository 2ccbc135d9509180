// Package echo defines the payloads that callers and targets of the stand-ins exchange. An answer
// names its request, the service and the target that ran the request, so that a caller can detect
// misrouted, mixed-up and corrupted answers.
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

// First byte and length of an encoded request payload and of the header of an answer.
const (
	requestMagic = 0xA5
	answerMagic  = 0x5A
	requestBytes = 1 + 8 + 1 + 2
	answerBytes  = 1 + 4*8 + 2
)

// RequestPayload is the payload of a request. It tells the target how large an answer to send.
type RequestPayload struct {
	// Service is the ID of the service that the caller addresses.
	Service uint64
	// Parts is the requested number of packets of the answer, at least 1.
	Parts uint8
	// Bytes is the number of filler bytes in each part.
	Bytes uint16
}

// Append appends the encoded payload to b.
func (r *RequestPayload) Append(b []byte) []byte {
	b = append(b, requestMagic)
	b = binary.BigEndian.AppendUint64(b, r.Service)
	b = append(b, r.Parts)

	return binary.BigEndian.AppendUint16(b, r.Bytes)
}

// Decode decodes the payload in b. Error: ErrMalformed.
func (r *RequestPayload) Decode(b []byte) error {
	if len(b) < requestBytes || b[0] != requestMagic {
		return ErrMalformed
	}
	r.Service = binary.BigEndian.Uint64(b[1:])
	r.Parts = b[9]
	r.Bytes = binary.BigEndian.Uint16(b[10:])

	return nil
}

// Answer is the header of one part of an answer; filler follows it.
type Answer struct {
	// Service is the ID of the service that the target serves.
	Service uint64
	Flow    uint64
	Request uint64
	// Target is the ID of the target that ran the request.
	Target uint64
	// Part is the index of this part, below Parts.
	Part  uint8
	Parts uint8
}

// Append appends the encoded header and fillerBytes bytes of filler to b.
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

// filler returns the filler byte with index i. It depends on the header, so that bytes of another
// answer are detected.
func (a *Answer) filler(i int) byte {
	return byte(a.Flow) ^ byte(a.Request) ^ a.Part ^ byte(i)
}

// Check compares the received part b with the expected header a and sets a.Target to the target
// that sent it. Errors: ErrMalformed, ErrWrongService, ErrWrongRequest, ErrFiller.
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
