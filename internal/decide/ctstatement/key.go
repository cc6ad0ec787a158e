package ctstatement

import "strings"

// An idempotency key is written as a comment in front of the statement, between
// keyPrefix and keySuffix.
const (
	keyPrefix = "/* idempotency_key="
	keySuffix = " */"
)

// CutKey splits a text into the idempotency key in front of it and the rest, and
// reports whether there is a key. It does not validate the key. Without a key,
// rest is the whole text.
func CutKey(text string) (key, rest string, found bool) {
	trimmed := strings.TrimSpace(text)
	after, found := strings.CutPrefix(trimmed, keyPrefix)
	if !found {
		return "", text, false
	}
	key, rest, _ = strings.Cut(after, keySuffix)
	return key, strings.TrimSpace(rest), true
}

// HasMultiple reports whether a text has more than one statement. Empty statements
// don't count.
func HasMultiple(text string) bool {
	_, multiple := scan(text)
	return multiple
}
