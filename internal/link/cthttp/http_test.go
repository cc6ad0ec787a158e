package cthttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// readJSON decodes a body with one field.
func readJSON(body string) (string, error) {
	var value struct {
		Name string `json:"name"`
	}
	request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	err := cthttp.ReadJSON(httptest.NewRecorder(), request, &value)
	return value.Name, err
}

// TestReadJSON guards against acting on a part of a body.
func TestReadJSON(t *testing.T) {
	t.Run("accepts one object with blanks around it", func(t *testing.T) {
		name, err := readJSON(" {\"name\":\"a\"}\r\n")
		assert.NilError(t, err)
		assert.Equal(t, name, "a")
	})
	for _, c := range []struct{ name, body string }{
		{"nothing", ""},
		{"an object that is cut short", `{"name":"a"`},
		{"two objects", `{"name":"a"}{"name":"b"}`},
		{"an object with bytes behind it", `{"name":"a"}]`},
		{"an unknown field", `{"name":"a","other":1}`},
	} {
		t.Run("refuses "+c.name, func(t *testing.T) {
			_, err := readJSON(c.body)
			assert.Equal(t, cterror.KindOf(err), cterror.Invalid, "%v", err)
		})
	}
}
