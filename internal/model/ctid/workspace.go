package ctid

import "github.com/cherviltrestle/cherviltrestle/internal/model/cterror"

// maxWorkspaceBytes is the longest accepted name of a workspace, in bytes.
const maxWorkspaceBytes = 255

// Workspace names a workspace: callers that share keys and a rate limit. The empty name
// stands for callers without a workspace.
type Workspace string

// Check returns an error of kind cterror.Invalid unless w has 1 to 255 bytes, with no
// blanks and no control characters.
func (w Workspace) Check() error {
	if w == "" || len(w) > maxWorkspaceBytes {
		return cterror.New(cterror.Invalid, "workspace name is empty or too long", "give a name of 1 to 255 bytes")
	}
	for i := range len(w) {
		if w[i] <= ' ' || w[i] == 0x7f {
			return cterror.Newf(cterror.Invalid, "use printable characters without blanks",
				"workspace name %q has an invalid character at byte %d", string(w), i)
		}
	}
	return nil
}
