/*
Package cttoken seals session tokens.

# Tokens

A token states what a session has seen of a group: a term and a position. The
proxy gives it to the caller as the parameter cherviltrestle.token, and the
caller presents it when it connects again, to any proxy. A token is text: its
fields, then an HMAC-SHA-256 under a key that all proxies share. A caller can't
make one for a position that was never reached, which would make its reads wait
for ever.

# Usage

	text := sealer.Seal("fit-registry", point)
	point, err := sealer.Open("fit-registry", text)
*/
package cttoken
