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

// cancelTimeout bounds the forwarding of a cancel request to the holder.
const cancelTimeout = 5 * time.Second

// cancelTarget identifies the request that was sent last, for cancel requests and for
// abort. Those come on other goroutines: a cancel request has a connection of its own.
type cancelTarget struct {
	mutex  sync.Mutex
	frame  ctframe.Cancel
	holder netip.AddrPort
	// stream is the one that the request was sent over, and aborted reports whether it and
	// all later ones are closed at once.
	stream  ctframe.Stream
	aborted bool
}

// recordSent records which request is sent to which holder, for a later cancel.
func (c *callerConn) recordSent(f ctsession.Send) {
	c.cancelTarget.mutex.Lock()
	defer c.cancelTarget.mutex.Unlock()
	c.cancelTarget.frame = ctframe.Cancel{Request: f.Request, Member: f.Route.Member}
	c.cancelTarget.holder = f.Route.Holder.Address
	c.cancelTarget.stream = c.stream
	if c.cancelTarget.aborted {
		c.stream.Close()
	}
}

// abort closes the stream of the running request, so that its exchange fails. It may be
// called from any goroutine.
func (c *callerConn) abort() {
	c.cancelTarget.mutex.Lock()
	defer c.cancelTarget.mutex.Unlock()
	c.cancelTarget.aborted = true
	if c.cancelTarget.stream != nil {
		c.cancelTarget.stream.Close()
	}
}

// forwardCancel sends a caller's cancel request to the holder that its session last
// sent a request to. A key that matches no session of this proxy is ignored, as the
// PostgreSQL protocol requires.
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
