package ctquery

import (
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Text is a text of a caller or a member that may go on a line: any bytes without an LF. It
// need not be UTF-8, so its encoding between processes is a byte string.
type Text string

// Check returns an error of kind cterror.Invalid if t can't go on a line.
func (t Text) Check() error {
	return checkWithout("text", string(t), "\n")
}

// MarshalBinary implements encoding.BinaryMarshaler. It rejects invalid texts.
func (t Text) MarshalBinary() ([]byte, error) {
	return []byte(t), t.Check()
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It rejects invalid texts.
func (t *Text) UnmarshalBinary(data []byte) error {
	*t = Text(data)
	return t.Check()
}

// Word is a Text that may go between other fields of a line: it has no blank and is not empty.
type Word string

// Check returns an error of kind cterror.Invalid if w is not a word.
func (w Word) Check() error {
	if w == "" {
		return cterror.New(cterror.Invalid, "a word is empty", "give it a value")
	}
	return checkWithout("word", string(w), " \n")
}

// MarshalBinary implements encoding.BinaryMarshaler. It rejects invalid words.
func (w Word) MarshalBinary() ([]byte, error) {
	return []byte(w), w.Check()
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It rejects invalid words.
func (w *Word) UnmarshalBinary(data []byte) error {
	*w = Word(data)
	return w.Check()
}

// ID is the identifier that a caller assigned to a query. It is empty for queries
// that a proxy or control sends on its own, else a Word.
type ID string

// Check returns an error of kind cterror.Invalid if i is neither empty nor a word.
func (i ID) Check() error {
	return checkWithout("id", string(i), " \n")
}

// maxLoggedIDBytes is how much of an ID is logged. An ID may be as long as a line.
const maxLoggedIDBytes = 64

// ForLog returns the ID as it goes into logs: cut off behind its first maxLoggedIDBytes.
func (i ID) ForLog() string {
	return string(i[:min(len(i), maxLoggedIDBytes)])
}

// MarshalBinary implements encoding.BinaryMarshaler. It rejects invalid IDs.
func (i ID) MarshalBinary() ([]byte, error) {
	return []byte(i), i.Check()
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It rejects invalid IDs.
func (i *ID) UnmarshalBinary(data []byte) error {
	*i = ID(data)
	return i.Check()
}

// checkWithout returns an error of kind cterror.Invalid if a text contains one of the bytes.
func checkWithout(kind, text, forbidden string) error {
	if offset := strings.IndexAny(text, forbidden); offset >= 0 {
		return cterror.Newf(cterror.Invalid, "leave it out", "a %s has byte %d at offset %d", kind, text[offset], offset)
	}
	return nil
}
