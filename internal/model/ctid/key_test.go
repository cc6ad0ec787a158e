package ctid_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const secret = "2rrytapjsujqurtyiikd"

// TestKeySecrecy guards against a key that gets into a log, an error or a message.
func TestKeySecrecy(t *testing.T) {
	key := ctid.NewKey(secret)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		t.Run(verb, func(t *testing.T) {
			text := fmt.Sprintf(verb, key) + fmt.Sprintf(verb, []any{&struct{ K ctid.Key }{key}, key})
			assert.Assert(t, !strings.Contains(text, secret))
		})
	}
	t.Run("JSON", func(t *testing.T) {
		data, err := json.Marshal(key)
		assert.NilError(t, err)
		assert.Equal(t, string(data), `"`+key.Digest().String()+`"`)
	})
}

func TestKeyDigest(t *testing.T) {
	digest := ctid.NewKey(secret).Digest()
	t.Run("differs between keys", func(t *testing.T) {
		assert.Assert(t, digest != ctid.NewKey(secret+"x").Digest())
	})
	t.Run("of no key is zero", func(t *testing.T) {
		assert.Assert(t, ctid.Key{}.Digest().IsZero() && !digest.IsZero())
	})
	t.Run("survives its encodings", func(t *testing.T) {
		var fromText, fromBinary ctid.KeyDigest
		text, _ := digest.MarshalText()
		data, _ := digest.MarshalBinary()
		assert.NilError(t, fromText.UnmarshalText(text))
		assert.NilError(t, fromBinary.UnmarshalBinary(data))
		assert.Equal(t, fromText, digest)
		assert.Equal(t, fromBinary, digest)
	})
}
