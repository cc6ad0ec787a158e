package ctentry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// cancelTimeout bounds the passing on of a cancel.
const cancelTimeout = 5 * time.Second

// cancellable identifies the request that was sent last. A cancel reads it from
// another goroutine.
type cancellable struct {
	mutex  sync.Mutex
	frame  ctframe.Cancel
	holder netip.AddrPort
}

// note remembers what is sent, for a cancel.
func (c *conversation) note(f ctsession.Send) {
	c.running.mutex.Lock()
	defer c.running.mutex.Unlock()
	c.running.frame = ctframe.Cancel{Request: f.Request, Member: f.Route.Member}
	c.running.holder = f.Route.Holder.Address
}

// cancel passes a caller's cancel on to the holder of what its session runs. A
// key that fits no session of this proxy is passed over, as the protocol says.
func (e *Entry) cancel(key ctpg.CancelKey) {
	var held ctlock.Held
	var to *conversation
	e.sessions.With(&held, func(rows map[ctid.Session]*conversation) {
		to = rows[ctid.Session(key.ProcessID)]
	})
	if to == nil || to.caller.CancelKey != key {
		return
	}
	to.running.mutex.Lock()
	frame, holder := to.running.frame, to.running.holder
	to.running.mutex.Unlock()
	if !holder.IsValid() {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	way, err := e.Transport.Open(ctx, holder)
	if err != nil {
		return
	}
	defer way.Close()
	if err := way.Write(&frame); err == nil {
		_, _ = way.Read()
	}
}
