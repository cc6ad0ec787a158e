/*
Package ctset provides two small generic types: Set, a collection without
duplicates, and Option, a value that may be absent.

# Usage

	domains := ctset.Of("taipei-a", "taichung-a")
	if domains.Has("taipei-a") {
		...
	}

	age := ctset.Some(2 * time.Second)
	if limit, ok := age.Get(); ok {
		...
	}
*/
package ctset
