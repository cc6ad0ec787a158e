/*
Package ctsql reads the few SQL statements that a stand-in backend server
understands.

# Statements

Tables have a key and a value, both text. A stand-in reads and writes rows,
runs transactions, sleeps, and answers the statements of the system's own. All
other statements are syntax errors, as a backend server would answer.

# Usage

	statements, err := ctsql.Parse("SELECT value FROM charts WHERE key = 'm8'")
	switch s := statements[0].(type) {
	case ctsql.Select:
		...
	}
*/
package ctsql
