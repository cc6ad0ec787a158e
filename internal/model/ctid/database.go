package ctid

import "github.com/cherviltrestle/cherviltrestle/internal/model/cterror"

// maxDatabaseBytes is the longest accepted database name, in bytes.
const maxDatabaseBytes = 255

// Database is the database name that callers connect to. A route of the
// configuration maps it to a group.
type Database string

// Check returns an error of kind cterror.Invalid unless d has 1 to 255 bytes, with
// no blanks and no control characters.
func (d Database) Check() error {
	if d == "" || len(d) > maxDatabaseBytes {
		return cterror.New(cterror.Invalid, "database name is empty or too long", "give a name of 1 to 255 bytes")
	}
	for i := 0; i < len(d); i++ {
		if d[i] <= ' ' || d[i] == 0x7f {
			return cterror.Newf(cterror.Invalid, "use printable characters without blanks",
				"database name %q has an invalid character at byte %d", string(d), i)
		}
	}
	return nil
}
