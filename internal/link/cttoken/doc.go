/*
Package cttoken creates and verifies session tokens. A token lets a caller continue a
session on another connection and still read what it has read and written before.

# Tokens

A token contains the point, a term and a position, up to which a session has seen
the log of a group. The proxy returns it to the caller as the parameter
cherviltrestle.token. The caller presents it when it connects again, to any proxy. A
token is the base64 text of its fields and of their seal, a truncated HMAC-SHA-256
with a key that all proxies share. The seal prevents a caller from creating a token
for a position that was never reached. Reads with such a token would wait forever.

# Usage

	text := sealer.Seal("fit-registry", point)
	point, err := sealer.Open("fit-registry", text)
*/
package cttoken
