/*
Package ctid holds the named identifiers that the other packages share.

# Names

Operators and VMs choose the names of groups, members, proxies, failure
domains and callers. A name is 1 to 63 bytes of lower-case letters, digits,
dashes, dots and underscores, and begins with a letter or a digit. The types
check themselves when they are decoded from text, so a decoded value is either
valid or the decoding fails with an error of kind cterror.Invalid.

# Numbers

Requests, sessions and incarnations are numbers that a process assigns. They
are unique in the scope that their comments state.

# Usage

	var group ctid.Group
	if err := group.UnmarshalText([]byte("fit-registry")); err != nil {
		return err
	}
*/
package ctid
