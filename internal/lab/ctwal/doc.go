/*
Package ctwal is the log of a stand-in's group and the tables that it makes.

# Log and tables

A Log is a list of entries. A member has received some of them and has applied
as many or fewer; its tables show what is applied. The position of an entry is
its number times EntryBytes, so that members with equal logs show equal
positions.

# Usage

	var log ctwal.Log
	log.Append(ctwal.Entry{Term: 1, Operation: ctwal.OperationInsert, Table: "charts", Key: "m8", Value: "7"})
	log.ApplyAll()
	rows := log.Rows("charts")
*/
package ctwal
