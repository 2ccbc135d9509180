// Package keyring holds the shared keys with which processes authenticate each
// other's messages, and derives one subkey for each use. It decides whether a MAC is
// valid.
package keyring

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/dchest/siphash"
	"github.com/juju/errors"
)

// MinSecretBytes is the minimum length of a decoded secret in bytes.
const MinSecretBytes = 16

// Sentinel errors of this package.
const (
	ErrNoKeys      = errors.ConstError("keyring holds no key")
	ErrShortSecret = errors.ConstError("secret is shorter than 16 bytes")
	ErrNotHex      = errors.ConstError("secret is not hexadecimal")
	ErrKeyID       = errors.ConstError("key identifier must be from 1 to 255 and unique")
)

// Use is the kind of message that a subkey authenticates. Each use has its own
// subkey, so that a MAC for one use does not verify for another.
type Use uint8

// Uses of a key.
const (
	// UseToken is for packet.Token.
	UseToken Use = iota
	// UseTunnel is for packet.Tunnel.
	UseTunnel
	// UseDatagram is for the datagrams of package peer.
	UseDatagram
	// UseStream is for the TCP streams of package peer.
	UseStream
	uses
)

// Key is one shared secret as written in the settings.
type Key struct {
	// ID is between 1 and 255 and unique within a keyring.
	ID int `yaml:"ID"`
	// Secret is hexadecimal and at least MinSecretBytes long when decoded.
	Secret string `yaml:"Secret"`
}

// subkeys holds the SipHash key of each use.
type subkeys [uses][2]uint64

// Keyring signs with its first key and verifies with all of its keys, so that
// operators can rotate keys. The zero value rejects every MAC.
type Keyring struct {
	signer uint8
	// keys are the subkeys by key identifier; nil for identifiers without a key.
	keys [256]*subkeys
}

// New returns a keyring of keys, the first of which signs. Errors: ErrNoKeys,
// ErrKeyID, ErrNotHex, ErrShortSecret.
func New(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, ErrNoKeys
	}

	r := &Keyring{}
	for _, k := range keys {
		if err := r.add(k); err != nil {
			return nil, errors.Annotatef(err, "key %d", k.ID)
		}
	}
	r.signer = uint8(keys[0].ID)

	return r, nil
}

func (r *Keyring) add(k Key) error {
	if k.ID < 1 || k.ID > 255 || r.keys[k.ID] != nil {
		return ErrKeyID
	}

	secret, err := hex.DecodeString(k.Secret)
	if err != nil {
		return ErrNotHex
	}
	if len(secret) < MinSecretBytes {
		return ErrShortSecret
	}
	r.keys[k.ID] = deriveSubkeys(secret)

	return nil
}

// deriveSubkeys derives each subkey from the first 16 bytes of the SHA-256 of the use
// and the secret.
func deriveSubkeys(secret []byte) *subkeys {
	s := &subkeys{}
	for u := range s {
		sum := sha256.Sum256(append([]byte{byte(u)}, secret...))
		s[u][0] = binary.LittleEndian.Uint64(sum[0:])
		s[u][1] = binary.LittleEndian.Uint64(sum[8:])
	}

	return s
}

// Signer returns the identifier of the key that signs.
func (r *Keyring) Signer() uint8 {
	return r.signer
}

// Sum returns the 64-bit SipHash MAC of b under key id. The second result is false
// if the keyring does not hold that key.
func (r *Keyring) Sum(u Use, id uint8, b []byte) (uint64, bool) {
	k := r.keys[id]
	if k == nil {
		return 0, false
	}

	return siphash.Hash(k[u][0], k[u][1], b), true
}

// Verify reports whether mac is the MAC of b under key id.
func (r *Keyring) Verify(u Use, id uint8, b []byte, mac uint64) bool {
	sum, ok := r.Sum(u, id, b)

	return ok && sum == mac
}
