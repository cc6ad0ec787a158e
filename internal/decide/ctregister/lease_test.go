package ctregister_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// leased applies a change that sets the lease time, at a time after the epoch.
func leased(r *ctregister.Register, at, lease time.Duration) {
	c := change(ctid.Change(fmt.Sprintf("at-%s", at)), r.CurrentConfig().Revision, "g")
	c.At = time.Unix(0, 0).Add(at)
	c.Change.Document.Defaults.Failovers.LeaseTTL = ctconfig.Duration(lease)
	r.Apply(c)
}

func assertLongest(t *testing.T, r *ctregister.Register, want time.Duration) {
	t.Helper()
	assert.Equal(t, r.LongestLease("g"), want)
}

func TestLongestLease(t *testing.T) {
	const short, long = time.Second, 4 * time.Second
	t.Run("is that of the only configuration", func(t *testing.T) {
		var r ctregister.Register
		leased(&r, 0, short)
		assertLongest(t, &r, short)
	})
	t.Run("counts those that were replaced of late", func(t *testing.T) {
		var r ctregister.Register
		leased(&r, 0, long)
		for i := range time.Duration(5) {
			leased(&r, (i+1)*time.Hour, short)
		}
		assertLongest(t, &r, long)
	})
	t.Run("forgets what was replaced many changes ago", func(t *testing.T) {
		var r ctregister.Register
		leased(&r, 0, long)
		for i := range time.Duration(8) {
			leased(&r, (i+1)*time.Hour, short)
		}
		assertLongest(t, &r, short)
	})
	t.Run("counts an exception that has ended since", func(t *testing.T) {
		var r ctregister.Register
		until := time.Unix(0, 0).Add(time.Second)
		c := change("first", 0, "g")
		c.At = time.Unix(0, 0)
		c.Change.Document.Defaults.Failovers.LeaseTTL = ctconfig.Duration(short)
		e := ctconfig.Exception{Group: "g", Reason: "slow network", ExpiresAt: &until}
		e.Settings.Failovers.LeaseTTL = ctconfig.Duration(long)
		c.Change.Document.Exceptions = []ctconfig.Exception{e}
		r.Apply(c)
		assertLongest(t, &r, long)
	})
}
