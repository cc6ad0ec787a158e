/*
Package ctstatement tells what sort of work an SQL text asks for, as far as
routing needs it.

# Without a parser

Classify reads words, quotes and comments, no more. It recognises what it is
sure of and calls everything else Write, which goes to the primary and is never
repeated. A text of several statements is a Write, unless it is empty.

A Select may still turn out to write, through a function. It is therefore tried
in read-only mode, where the backend server refuses a write before it runs.

# Usage

	switch ctstatement.Classify("SELECT size FROM charts") {
	case ctstatement.Select:
		...
	}
*/
package ctstatement
