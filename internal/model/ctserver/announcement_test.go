package ctserver_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// validJSON is an announcement that Check accepts.
const validJSON = `{"group":"fit-registry","member":"fit-0","failure_domain":"taipei-a","address":"127.0.0.1:5432",
"incarnation":7,"role":"primary","state":"ready","term":1,"slots":5,"connections":75}`

// decodeAndCheck decodes and checks an announcement.
func decodeAndCheck(text string) error {
	var a ctserver.Announcement
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		return err
	}
	return a.Check()
}

func TestAnnouncement(t *testing.T) {
	t.Run("is accepted if all fields are valid", func(t *testing.T) {
		assert.NilError(t, decodeAndCheck(validJSON))
	})
	for _, c := range []struct{ name, override, wantError string }{
		{"without an incarnation", `"incarnation":0`, "incarnation"},
		{"with fewer connections than slots", `"connections":4`, "connections"},
		{"without slots", `"slots":0`, "slots"},
		{"without a term", `"term":0`, "term"},
		{"with an unknown role", `"role":"leader"`, "role"},
		{"with an unknown state", `"state":"gone"`, "state"},
		{"with a host name", `"address":"localhost:5432"`, "ParseAddr"},
		{"with an invalid name", `"member":"Not A Name"`, "name"},
	} {
		t.Run("is rejected "+c.name, func(t *testing.T) {
			text := validJSON[:len(validJSON)-1] + "," + c.override + "}"
			assert.ErrorContains(t, decodeAndCheck(text), c.wantError)
		})
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(validJSON)
	f.Fuzz(func(t *testing.T, text string) {
		var a ctserver.Announcement
		if json.Unmarshal([]byte(text), &a) != nil || a.Check() != nil {
			return
		}
		if a.Slots < 1 || a.CallerConnections() < a.Slots {
			t.Errorf("an announcement of %d slots and %d connections was accepted", a.Slots, a.Connections)
		}
	})
}
