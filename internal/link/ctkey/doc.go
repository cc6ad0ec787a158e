/*
Package ctkey creates and loads the certificates and keys with which the system's
processes authenticate each other, and the keys that seal session tokens.

# Files

The key folder of a process holds four files. The certificates of the trusted
authorities are in ca.crt. The process's own certificate and private key are in
node.crt and node.key. The keys that seal session tokens are in token.key. The
operator's folder holds ca.crt, token.key and ca.key, the private key of the
authority. Processes don't need ca.key, so it should stay with the operator.

# Usage

	err := ctkey.CreateAuthority(folder, "fleet", time.Now())
	err = ctkey.Issue(folder, target, "proxy-1", time.Now())
	bundle, err := ctkey.Load(target)
*/
package ctkey
