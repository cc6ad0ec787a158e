package ctstatement

import "strings"

// The marks around an idempotency key, which is given in a comment in front of
// the statement.
const (
	keyPrefix = "/* idempotency_key="
	keySuffix = " */"
)

// CutKey returns the idempotency key in front of a text and the text behind it, and
// whether there is one. The key is not checked.
func CutKey(text string) (key, rest string, found bool) {
	trimmed := strings.TrimSpace(text)
	after, found := strings.CutPrefix(trimmed, keyPrefix)
	if !found {
		return "", text, false
	}
	key, rest, _ = strings.Cut(after, keySuffix)
	return key, strings.TrimSpace(rest), true
}

// HasMultiple reports whether a text holds more than one statement.
func HasMultiple(text string) bool {
	_, multiple := scan(text)
	return multiple
}
