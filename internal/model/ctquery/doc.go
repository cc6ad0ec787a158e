/*
Package ctquery defines the queries that callers, proxies and control send to
members, and the answers of the members. Its types are independent of the
encoding on the wire.

# Usage

	switch s := query.Statement.(type) {
	case ctquery.Read:
		...
	case ctquery.Begin:
		...
	}
*/
package ctquery
