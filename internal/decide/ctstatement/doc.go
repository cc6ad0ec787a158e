/*
Package ctstatement classifies SQL texts for routing: reads, writes, the begin and
end of transactions, and statements that need special handling. It also extracts
an idempotency key from a text's leading comment.

# Classification without a parser

Classify scans only words, quotes and comments. It classifies a text as Write
unless it is certain of another class. A Write runs on the primary, unless the
session is read-only. Once it may have run there, it is not sent again, unless it
has an idempotency key. A text with more than one statement is a Write; empty
statements don't count.

A Select can still write, through a function that it calls. It is therefore run
in read-only mode first, where the backend server refuses a write before it runs.

# Usage

	switch ctstatement.Classify("SELECT size FROM charts") {
	case ctstatement.Select:
		// Any member may run it.
	}
*/
package ctstatement
