package ctstatement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
)

func TestCutKey(t *testing.T) {
	for _, c := range []struct {
		text, key, rest string
		found           bool
	}{
		{"/* idempotency_key=order-1 */ INSERT INTO t VALUES (1)", "order-1", "INSERT INTO t VALUES (1)", true},
		{" \n/* idempotency_key=a */SELECT f()", "a", "SELECT f()", true},
		{"/* idempotency_key=a b'c */ SELECT 1", "a b'c", "SELECT 1", true},
		{"/* idempotency_key=open", "open", "", true},
		{"/* other */ SELECT 1", "", "/* other */ SELECT 1", false},
		{"SELECT '/* idempotency_key=a */'", "", "SELECT '/* idempotency_key=a */'", false},
	} {
		t.Run(c.text, func(t *testing.T) {
			key, rest, found := ctstatement.CutKey(c.text)
			assert.Equal(t, found, c.found)
			assert.Equal(t, key, c.key)
			assert.Equal(t, rest, c.rest)
		})
	}
}
