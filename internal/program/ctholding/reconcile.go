package ctholding

import (
	"fmt"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctreconcile"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// reconcile runs the next statement that brings the member to the state that
// control decided. It reports whether a statement succeeded.
func (mon *monitor) reconcile(connection *ctbackend.Conn, status ctserver.Status) bool {
	var held ctlock.Held
	view := mon.holder.State.View(&held)
	action := ctreconcile.Next(mon.name, status, view.Groups[mon.group])
	text, decision := mon.statement(action)
	if text == "" {
		return false
	}
	_, err := mon.query(connection, text)
	line := ctlog.Decision(&mon.holder.Logger, decision).
		Str("group", string(mon.group)).
		Str("member", string(mon.name)).
		Str("why", "group_decided")
	if err != nil {
		line.Str("error", err.Error()).Send()
		return false
	}
	line.Send()
	return true
}

// statement returns the SQL statement for an action and the action's name in the
// log. Both are empty if there is nothing to do now.
func (mon *monitor) statement(action ctreconcile.Action) (text string, name string) {
	switch a := action.(type) {
	case ctreconcile.Fence:
		return fmt.Sprintf("SELECT group_fence(%d)", a.Term), "fence"
	case ctreconcile.Promote:
		return fmt.Sprintf("SELECT group_promote(%d)", a.Term), "promote"
	case ctreconcile.Follow:
		var held ctlock.Held
		primary, ok := mon.holder.State.View(&held).Members[a.Primary]
		if !ok {
			return "", ""
		}
		return fmt.Sprintf("SELECT group_follow(%d, %d, '%s')", a.Term, a.Start, primary.Address), "follow"
	}
	return "", ""
}
