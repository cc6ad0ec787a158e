package ctid

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// keyDigestBytes is the length of a KeyDigest.
const keyDigestBytes = 16

// keyDigestPrefix separates the digests of keys from other uses of the hash.
const keyDigestPrefix = "cherviltrestle key\x00"

// Key is the secret by which a caller proves to which workspace it belongs. Formatting and
// encoding a Key write its digest, so that the secret reaches no log, metric, error or
// peer by accident. The zero value is no key.
type Key struct {
	// secret is a pointer because fmt prints the fields of nested values where it reports a
	// verb that does not fit.
	secret *string
}

// NewKey returns the key with a secret.
func NewKey(secret string) Key {
	if secret == "" {
		return Key{}
	}
	return Key{secret: &secret}
}

// IsZero reports whether k is no key.
func (k Key) IsZero() bool {
	return k.secret == nil
}

// Digest returns the digest of the key, by which processes compare keys. It is the zero
// digest for no key.
func (k Key) Digest() KeyDigest {
	var digest KeyDigest
	if k.secret != nil {
		sum := sha256.Sum256([]byte(keyDigestPrefix + *k.secret))
		copy(digest[:], sum[:])
	}
	return digest
}

// Format implements fmt.Formatter. It writes the digest for every verb.
func (k Key) Format(state fmt.State, _ rune) {
	_, _ = state.Write([]byte(k.Digest().String()))
}

// MarshalText implements encoding.TextMarshaler. It returns the digest.
func (k Key) MarshalText() ([]byte, error) {
	return k.Digest().MarshalText()
}

// UnmarshalText implements encoding.TextUnmarshaler. It reads the secret and rejects an empty one.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return cterror.New(cterror.Invalid, "a key is empty", "give it a value")
	}
	*k = NewKey(string(text))
	return nil
}

// KeyDigest is the beginning of the SHA-256 hash of a key. Processes store and exchange it in
// place of the key.
type KeyDigest [keyDigestBytes]byte

// IsZero reports whether d is the digest of no key.
func (d KeyDigest) IsZero() bool {
	return d == KeyDigest{}
}

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != keyDigestBytes {
		return cterror.New(cterror.Invalid, "a key's digest can't be read", "give it as 32 hexadecimal digits")
	}
	copy(d[:], data)
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (d KeyDigest) MarshalBinary() ([]byte, error) {
	return d[:], nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *KeyDigest) UnmarshalBinary(data []byte) error {
	if len(data) != keyDigestBytes {
		return cterror.New(cterror.Invalid, "a key's digest has another length", "check that both processes have one version")
	}
	copy(d[:], data)
	return nil
}
