package cterror_test

import (
	"io"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

func TestError(t *testing.T) {
	wrapped := cterror.Wrap(cterror.Unavailable, io.ErrUnexpectedEOF, "read the state", "check the disk")
	t.Run("includes the remedy in its text", func(t *testing.T) {
		assert.Equal(t, wrapped.Error(), "read the state: unexpected EOF: check the disk")
	})
	t.Run("keeps its kind under further wrapping", func(t *testing.T) {
		assert.Equal(t, cterror.KindOf(errors.Wrap(wrapped, "start")), cterror.Unavailable)
	})
	t.Run("keeps its cause", func(t *testing.T) {
		assert.Assert(t, errors.Is(wrapped, io.ErrUnexpectedEOF))
	})
	t.Run("is internal without a kind", func(t *testing.T) {
		assert.Equal(t, cterror.KindOf(io.EOF), cterror.Internal)
	})
}
