/*
Package cttable holds the shared tables that workers decide on.

# Tables

A Table is a map behind a ranked lock. Its rows are pointers: they are read and
changed only while the table is locked. A Cell is a table of one row.

# Usage

	sessions := cttable.Table[ctid.Session, row]{Rank: ctlock.RankSessions}
	sessions.With(&held, func(rows map[ctid.Session]*row) {
		rows[7] = &row{}
	})
*/
package cttable
