package ctstatement

import "strings"

// The marks around an idempotency key, which is given in a comment in front of
// the statement.
const (
	keyBegin = "/* idempotency_key="
	keyEnd   = " */"
)

// CutKey returns the idempotency key in front of a text and the text behind it, and
// whether there is one. The key is not checked.
func CutKey(text string) (key, rest string, found bool) {
	trimmed := strings.TrimSpace(text)
	after, found := strings.CutPrefix(trimmed, keyBegin)
	if !found {
		return "", text, false
	}
	key, rest, _ = strings.Cut(after, keyEnd)
	return key, strings.TrimSpace(rest), true
}

// HasMultiple reports whether a text holds more than one statement.
func HasMultiple(text string) bool {
	_, several := scan(text)
	return several
}
