/*
Package cttable provides in-memory tables that are shared by goroutines and guarded
by the ranked locks of ctlock.

# Tables

A Table is a map with a lock. Its rows are pointers, which may be used only while
the table is locked. A Cell is a single value with a lock.

# Usage

	sessions := cttable.Table[ctid.Session, row]{Rank: ctlock.RankSessions}
	sessions.With(&held, func(rows map[ctid.Session]*row) {
		rows[7] = &row{}
	})
*/
package cttable
