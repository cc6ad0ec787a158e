/*
Package ctwal implements the replicated log of stand-in backend servers. Each
member of a group has a copy of the log, and builds its tables from it.

# Log and tables

A Log is a list of received entries, of which the first ones are applied. Its
tables show only applied entries. A log position is a number of entries times
EntryBytes. Members with equal logs thus report equal positions.

A Log has no lock of its own. Its owner must not use it concurrently.

# Usage

	var log ctwal.Log
	log.Append(ctwal.Entry{
		Term: 1, Operation: ctwal.OperationInsert, Table: "charts", Key: "m8", Value: "7", Last: true,
	})
	log.ApplyAll()
	rows := log.Rows("charts")
*/
package ctwal
