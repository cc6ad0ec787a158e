package ctreply

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"

// StatementName returns the kind of a statement in snake case, for logs.
func StatementName(statement ctquery.Statement) string {
	switch statement.(type) {
	case ctquery.Begin:
		return "begin"
	case ctquery.Commit:
		return "commit"
	case ctquery.Rollback:
		return "rollback"
	case ctquery.Read:
		return "read"
	case ctquery.Write:
		return "write"
	case ctquery.Execute:
		return "execute"
	case ctquery.Set, ctquery.Reset:
		return "parameters"
	case ctquery.Prepare, ctquery.Deallocate:
		return "prepare"
	case ctquery.ReadStatus:
		return "status"
	case ctquery.Pause, ctquery.Resume, ctquery.StepDown:
		return "control"
	}
	return "none"
}
