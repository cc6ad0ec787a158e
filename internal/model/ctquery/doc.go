/*
Package ctquery holds what callers ask of members and what members answer, apart
from any encoding: statements, queries, faults and answers.

# Usage

	switch s := query.Statement.(type) {
	case ctquery.Read:
		...
	case ctquery.Begin:
		...
	}
*/
package ctquery
