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

// cancelTarget identifies the request that was sent last. A cancel reads it from
// another goroutine.
type cancelTarget struct {
	mutex  sync.Mutex
	frame  ctframe.Cancel
	holder netip.AddrPort
}

// recordSent remembers what is sent, for a cancel.
func (c *callerConn) recordSent(f ctsession.Send) {
	c.cancelTarget.mutex.Lock()
	defer c.cancelTarget.mutex.Unlock()
	c.cancelTarget.frame = ctframe.Cancel{Request: f.Request, Member: f.Route.Member}
	c.cancelTarget.holder = f.Route.Holder.Address
}

// forwardCancel passes a caller's cancel on to the holder of what its session runs. A
// key that fits no session of this proxy is passed over, as the protocol says.
func (e *Entry) forwardCancel(key ctpg.CancelKey) {
	var held ctlock.Held
	var target *callerConn
	e.sessions.With(&held, func(sessions map[ctid.Session]*callerConn) {
		target = sessions[ctid.Session(key.ProcessID)]
	})
	if target == nil || target.caller.CancelKey != key {
		return
	}
	target.cancelTarget.mutex.Lock()
	frame, holder := target.cancelTarget.frame, target.cancelTarget.holder
	target.cancelTarget.mutex.Unlock()
	if !holder.IsValid() {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	stream, err := e.Transport.Open(ctx, holder)
	if err != nil {
		return
	}
	defer stream.Close()
	if err := stream.Write(&frame); err == nil {
		_, _ = stream.Read()
	}
}
