package ctid

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// maxNameBytes is the longest accepted name, in bytes.
const maxNameBytes = 63

// checkName returns an error of kind cterror.Invalid if text is not a valid name. The
// error message begins with kind, such as "member".
func checkName(kind string, text string) error {
	if text == "" {
		return cterror.New(cterror.Invalid, kind+" name is empty", "give a name of 1 to 63 characters")
	}
	if len(text) > maxNameBytes {
		return cterror.New(cterror.Invalid, kind+" name is longer than 63 bytes", "shorten the name")
	}
	for i := 0; i < len(text); i++ {
		if !validNameByte(text[i], i == 0) {
			return cterror.Newf(cterror.Invalid,
				"use lower-case letters, digits, dashes, dots and underscores, beginning with a letter or digit",
				"%s name %q has an invalid character at byte %d", kind, text, i)
		}
	}
	return nil
}

// validNameByte reports whether b may occur in a name. first says that b is the
// first byte.
func validNameByte(b byte, first bool) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= '0' && b <= '9':
		return true
	case b == '-', b == '.', b == '_':
		return !first
	}
	return false
}
