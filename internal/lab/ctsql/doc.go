/*
Package ctsql parses the SQL statements that a stand-in backend server supports.
The stand-in replaces a real backend server in tests, so the package knows only
the statements that tests and proxies send.

# Statements

A table has two text columns: key and value. There are statements that read and
change rows, control transactions and sleep. Others query the status, manage the
holder's lock, and fence, promote or redirect a member. Parse returns a syntax
error for everything else.

# Usage

	statements, err := ctsql.Parse("SELECT value FROM charts WHERE key = 'm8'")
	switch s := statements[0].(type) {
	case ctsql.Select:
		...
	}
*/
package ctsql
