package ctdiskloss

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/platform"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

const (
	groupName ctid.Group    = "group-0"
	database  ctid.Database = "database"
	// connections is how many connections the member accepts.
	connections      = 40
	statementTimeout = 2 * time.Second
	// callTimeout bounds one call of an operator or a client.
	callTimeout = time.Second
)

// operator publishes configurations and reads them back.
type operator struct {
	client platform.ExternalClient
	// newest is the newest release that was sent, and acknowledged the newest acknowledged one with
	// its body.
	newest, acknowledged ctid.Release
	acknowledgedBody     []byte
}

// newChange makes the next release. The returned function sends it to one control process, in turn, and reports
// whether that one acknowledged it.
func (o *operator) newChange() func(ctx context.Context, controls []*process) bool {
	o.newest++
	release, next := o.newest, int(o.newest)
	body, err := platform.RenderConfig(release, ctconfig.Document{
		Groups: []ctconfig.Group{{Name: groupName, Connections: connections}},
		Routes: []ctconfig.Route{{
			Name: "route", Database: database, Group: groupName, Freshness: ctconfig.FreshnessPrimary,
			StatementTimeout: ctconfig.Duration(statementTimeout), TargetLatency: ctconfig.Duration(statementTimeout),
		}},
	})
	return func(ctx context.Context, controls []*process) bool {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		next++
		if err != nil {
			return false
		}
		status, err := o.client.Publish(callCtx, controls[next%len(controls)].operatorAddress(), body)
		if err != nil || status != http.StatusOK {
			return false
		}
		o.acknowledged, o.acknowledgedBody = release, body
		return true
	}
}

// readsBack reports whether a control process returns the newest acknowledged release, or a newer one that
// was sent.
func (o *operator) readsBack(ctx context.Context, control *process) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	release, body, err := o.client.CurrentConfig(callCtx, control.operatorAddress())
	if err != nil || release < o.acknowledged || release > o.newest {
		return false
	}
	return release > o.acknowledged || bytes.Equal(body, o.acknowledgedBody)
}

// serves reports whether all proxies serve a read.
func (s *System) serves(ctx context.Context) bool {
	for _, p := range s.proxies {
		if !p.serves(ctx) {
			return false
		}
	}
	return true
}

// serves opens a session at a proxy and reports whether a read succeeds.
func (p *process) serves(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	caller, _, err := ctpeer.Dial(ctx, p.settings.CallerAddress, database)
	if err != nil || caller == nil {
		return false
	}
	defer caller.Close()
	deadline, _ := ctx.Deadline()
	if caller.SetReadDeadline(deadline) != nil || caller.Send("read", "READ item") != nil {
		return false
	}
	answer, err := caller.Receive()
	return err == nil && answer.OK()
}
