/*
Package ctkey makes and loads the keys by which the system's processes know
each other.

# Files

A key folder holds ca.crt, the certificates that this process trusts; node.crt
and node.key, its own certificate; and token.key, the keys that seal session
tokens. A process needs no more than these files; ca.key, which signs new
certificates, stays with the operator.

# Usage

	err := ctkey.Create(folder, "fleet")
	err = ctkey.Issue(folder, target, "proxy-1")
	bundle, err := ctkey.Load(target)
*/
package ctkey
