package packet

import (
	"encoding/binary"
	"net/netip"

	"ibisfold.example/core/keyring"
)

// TokenBytes is the length of an encoded token in bytes.
const TokenBytes = 1 + addrPortBytes + 4*8 + 8

// Token identifies the agent that owns a flow. Callers echo it in each packet,
// so that any entry can route the packets of the flow without state.
type Token struct {
	// Key is the identifier of the key that signed the token; 0 means no token.
	Key uint8
	// Agent is the address of the owning agent.
	Agent netip.AddrPort
	// Service is the identity of the service that the flow was opened to.
	Service uint64
	// Zone is the identity of the owner's availability zone.
	Zone uint64
	// Target is the identity of the owner's target.
	Target uint64
	// Incarnation identifies one start of the owning agent.
	Incarnation uint64
	// MAC authenticates the other fields and the flow.
	MAC uint64
}

// IsZero reports whether t is unset.
func (t *Token) IsZero() bool {
	return t.Key == 0
}

// Sign sets Key and MAC so that t is valid for flow.
func (t *Token) Sign(r *keyring.Keyring, flow uint64) {
	t.Key = r.Signer()
	t.MAC, _ = t.mac(r, flow)
}

// Verify reports whether t was signed for flow with a key of r.
func (t *Token) Verify(r *keyring.Keyring, flow uint64) bool {
	mac, ok := t.mac(r, flow)

	return ok && mac == t.MAC
}

// mac computes the MAC of t for flow. It returns false if r does not hold the key of t.
func (t *Token) mac(r *keyring.Keyring, flow uint64) (uint64, bool) {
	var a [TokenBytes + 8]byte

	b := t.appendSigned(a[:0])
	b = binary.BigEndian.AppendUint64(b, flow)

	return r.Sum(keyring.UseToken, t.Key, b)
}

// appendSigned appends the fields that MAC covers.
func (t *Token) appendSigned(b []byte) []byte {
	b = append(b, t.Key)
	b = appendAddrPort(b, t.Agent)
	b = binary.BigEndian.AppendUint64(b, t.Service)
	b = binary.BigEndian.AppendUint64(b, t.Zone)
	b = binary.BigEndian.AppendUint64(b, t.Target)

	return binary.BigEndian.AppendUint64(b, t.Incarnation)
}

func (t *Token) append(b []byte) []byte {
	return binary.BigEndian.AppendUint64(t.appendSigned(b), t.MAC)
}

func (t *Token) decode(b []byte) error {
	if len(b) != TokenBytes {
		return ErrField
	}

	t.Key = b[0]
	t.Agent = decodeAddrPort(b[1:])
	b = b[1+addrPortBytes:]
	t.Service = binary.BigEndian.Uint64(b)
	t.Zone = binary.BigEndian.Uint64(b[8:])
	t.Target = binary.BigEndian.Uint64(b[16:])
	t.Incarnation = binary.BigEndian.Uint64(b[24:])
	t.MAC = binary.BigEndian.Uint64(b[32:])

	return nil
}
