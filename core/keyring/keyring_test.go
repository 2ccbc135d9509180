package keyring_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/keyring"
)

const (
	firstSecret  = "00112233445566778899aabbccddeeff"
	secondSecret = "ffeeddccbbaa99887766554433221100"
)

func newKeyring(t *testing.T, ids ...int) *keyring.Keyring {
	t.Helper()
	secrets := map[int]string{
		1: firstSecret,
		2: secondSecret,
	}
	keys := []keyring.Key{}
	for _, id := range ids {
		keys = append(keys, keyring.Key{
			ID:     id,
			Secret: secrets[id],
		})
	}
	r, err := keyring.New(keys)
	if err != nil {
		t.Fatal(err)
	}

	return r
}

// Guards against a key rotation during which processes reject each other's messages.
// In each step the first key signs and all keys verify.
func TestRotation(t *testing.T) {
	is := is.New(t)
	old, both, rotated, next := newKeyring(t, 1), newKeyring(t, 1, 2), newKeyring(t, 2, 1), newKeyring(t, 2)
	is.Equal(both.Signer(), uint8(1))
	is.Equal(rotated.Signer(), uint8(2))
	for _, c := range []struct {
		signer, verifier *keyring.Keyring
		ok               bool
	}{
		{old, both, true},
		{both, old, true},
		{both, rotated, true},
		{rotated, both, true},
		{rotated, next, true},
		{next, rotated, true},
		{old, next, false},
		{next, old, false},
	} {
		id := c.signer.Signer()
		mac, ok := c.signer.Sum(keyring.UseTunnel, id, []byte("message"))
		is.True(ok)
		is.Equal(c.verifier.Verify(keyring.UseTunnel, id, []byte("message"), mac), c.ok)
	}
}

// Guards against MACs that verify for another use, for another message, under another
// key or without any key.
func TestVerifyRejects(t *testing.T) {
	is := is.New(t)
	r := newKeyring(t, 1)
	mac, _ := r.Sum(keyring.UseToken, 1, []byte("message"))
	is.True(r.Verify(keyring.UseToken, 1, []byte("message"), mac))
	is.True(!r.Verify(keyring.UseTunnel, 1, []byte("message"), mac))
	is.True(!r.Verify(keyring.UseToken, 1, []byte("massage"), mac))
	is.True(!r.Verify(keyring.UseToken, 2, []byte("message"), mac))
	is.True(!(&keyring.Keyring{}).Verify(keyring.UseToken, 0, nil, 0))
}

// Guards against settings with missing, weak or ambiguous keys.
func TestNewRejects(t *testing.T) {
	for _, c := range []struct {
		name string
		keys []keyring.Key
		want error
	}{
		{"none", nil, keyring.ErrNoKeys},
		{"identifier 0", []keyring.Key{{ID: 0, Secret: firstSecret}}, keyring.ErrKeyID},
		{"identifier 256", []keyring.Key{{ID: 256, Secret: firstSecret}}, keyring.ErrKeyID},
		{"repeated", []keyring.Key{{ID: 1, Secret: firstSecret}, {ID: 1, Secret: secondSecret}}, keyring.ErrKeyID},
		{"short", []keyring.Key{{ID: 1, Secret: "0011"}}, keyring.ErrShortSecret},
		{"not hexadecimal", []keyring.Key{{ID: 1, Secret: "secret"}}, keyring.ErrNotHex},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := keyring.New(c.keys)
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
