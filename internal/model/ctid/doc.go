/*
Package ctid defines the identifier types that the other packages share.

# Names

Operators and VMs choose the names of groups, members, proxies, control
processes, failure domains and callers. A name is 1 to 63 bytes of lower-case
letters, digits, dashes, dots and underscores, and begins with a letter or a
digit. Names are checked when they are decoded from text: decoding an invalid
name fails with an error of kind cterror.Invalid. A Database has a looser rule,
and only its Check method applies it.

# Numbers

Processes assign the numbers of sessions, requests and incarnations. Each number
is unique in the scope that its comment states.

# Usage

	var group ctid.Group
	if err := group.UnmarshalText([]byte("fit-registry")); err != nil {
		return err
	}
*/
package ctid
