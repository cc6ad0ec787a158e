package ctserver_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// valid is an announcement without a fault.
const valid = `{"group":"fit-registry","member":"fit-0","failure_domain":"taipei-a","address":"127.0.0.1:5432",
"incarnation":7,"role":"primary","state":"ready","term":1,"slots":5,"connections":75}`

// decode decodes and checks an announcement.
func decode(text string) error {
	var a ctserver.Announcement
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		return err
	}
	return a.Check()
}

func TestAnnouncement(t *testing.T) {
	t.Run("is taken without a fault", func(t *testing.T) {
		assert.NilError(t, decode(valid))
	})
	for _, refused := range []struct{ name, replace, part string }{
		{"without an incarnation", `"incarnation":0`, "incarnation"},
		{"with fewer connections than slots", `"connections":4`, "connections"},
		{"without slots", `"slots":0`, "slots"},
		{"without a term", `"term":0`, "term"},
		{"with an unknown role", `"role":"leader"`, "role"},
		{"with an unknown state", `"state":"gone"`, "state"},
		{"with a host name", `"address":"localhost:5432"`, "ParseAddr"},
		{"with a name that is none", `"member":"Not A Name"`, "name"},
	} {
		t.Run("is refused "+refused.name, func(t *testing.T) {
			text := valid[:len(valid)-1] + "," + refused.replace + "}"
			assert.ErrorContains(t, decode(text), refused.part)
		})
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text string) {
		var a ctserver.Announcement
		if json.Unmarshal([]byte(text), &a) != nil || a.Check() != nil {
			return
		}
		if a.Slots < 1 || a.CallerConnections() < a.Slots {
			t.Errorf("an announcement of %d slots and %d connections was taken", a.Slots, a.Connections)
		}
	})
}
