package cttoken_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttoken"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

var (
	oldKey = ctkey.TokenKey{1}
	newKey = ctkey.TokenKey{2}
	point  = ctposition.Point{Term: 3, Position: 640}
)

func TestSealer(t *testing.T) {
	sealer := &cttoken.Sealer{Keys: []ctkey.TokenKey{oldKey}}
	token := sealer.Seal("fit-registry", point)
	t.Run("opens its own token", func(t *testing.T) {
		opened, err := sealer.Open("fit-registry", token)
		assert.NilError(t, err)
		assert.Equal(t, opened, point)
	})
	t.Run("opens a token sealed with an earlier key", func(t *testing.T) {
		rotated := &cttoken.Sealer{Keys: []ctkey.TokenKey{newKey, oldKey}}
		opened, err := rotated.Open("fit-registry", token)
		assert.NilError(t, err)
		assert.Equal(t, opened, point)
	})
	t.Run("rejects the token of another group", func(t *testing.T) {
		_, err := sealer.Open("narocila-db", token)
		assert.ErrorContains(t, err, "session token")
	})
	t.Run("rejects the token of another fleet", func(t *testing.T) {
		other := &cttoken.Sealer{Keys: []ctkey.TokenKey{newKey}}
		_, err := other.Open("fit-registry", token)
		assert.ErrorContains(t, err, "session token")
	})
}

func FuzzOpen(f *testing.F) {
	sealer := &cttoken.Sealer{Keys: []ctkey.TokenKey{oldKey}}
	f.Add(sealer.Seal("fit-registry", point))
	f.Add("")
	f.Fuzz(func(t *testing.T, token string) {
		opened, err := sealer.Open("fit-registry", token)
		if err == nil && sealer.Seal("fit-registry", opened) != token {
			t.Errorf("%q was opened as %s, whose token is another", token, opened)
		}
	})
}
