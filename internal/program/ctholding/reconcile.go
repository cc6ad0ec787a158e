package ctholding

import (
	"fmt"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctreconcile"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// reconcile does to the member what is needed so that it becomes what control
// decided, and reports whether it did anything.
func (w *watch) reconcile(connection *ctbackend.Conn, status ctserver.Status) bool {
	var held ctlock.Held
	view := w.holding.State.View(&held)
	deed := ctreconcile.Next(w.name, status, view.Groups[w.group])
	text, why := w.statement(deed)
	if text == "" {
		return false
	}
	_, err := w.query(connection, text)
	line := ctlog.Decision(&w.holding.Logger, why).
		Str("group", string(w.group)).
		Str("member", string(w.name)).
		Str("why", "group_decided")
	if err != nil {
		line.Str("error", err.Error()).Send()
		return false
	}
	line.Send()
	return true
}

// statement returns the statement that does a deed and the deed's name, or
// nothing where there is nothing to do now.
func (w *watch) statement(deed ctreconcile.Action) (text string, name string) {
	switch d := deed.(type) {
	case ctreconcile.Fence:
		return fmt.Sprintf("SELECT group_fence(%d)", d.Term), "fence"
	case ctreconcile.Promote:
		return fmt.Sprintf("SELECT group_promote(%d)", d.Term), "promote"
	case ctreconcile.Follow:
		var held ctlock.Held
		primary, ok := w.holding.State.View(&held).Members[d.Primary]
		if !ok {
			return "", ""
		}
		return fmt.Sprintf("SELECT group_follow(%d, %d, '%s')", d.Term, d.Start, primary.Address), "follow"
	}
	return "", ""
}
