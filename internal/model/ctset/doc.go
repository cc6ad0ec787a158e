/*
Package ctset holds two small generic values: Set and Option.

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
