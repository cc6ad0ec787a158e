package ctwal

import "slices"

// EntryBytes is the nominal size of an entry: each one advances the log position by
// this number of bytes.
const EntryBytes = 64

// Operation is the kind of change that an entry makes.
type Operation string

// The operations.
const (
	OperationInsert Operation = "insert"
	OperationUpdate Operation = "update"
	OperationDelete Operation = "delete"
)

// Entry is one change of a table, made in Term. An update or delete applies to all
// rows with Key.
type Entry struct {
	Term      uint64    `json:"term"`
	Operation Operation `json:"operation"`
	Table     string    `json:"table"`
	Key       string    `json:"key"`
	Value     string    `json:"value"`
	// Last reports whether the entry is the last of its transaction.
	Last bool `json:"last"`
}

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Log is a member's log with its tables. Its zero value is empty.
type Log struct {
	entries []Entry
	applied int
	tables  map[string][]Row
}

// Append adds received entries to the end of the log. It does not apply them.
func (l *Log) Append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// ReceivedCount returns the number of received entries.
func (l *Log) ReceivedCount() int {
	return len(l.entries)
}

// AppliedCount returns the number of applied entries.
func (l *Log) AppliedCount() int {
	return l.applied
}

// EntriesFrom returns a copy of at most limit entries, starting with the index first,
// which counts from 0. It returns nil if there are none.
func (l *Log) EntriesFrom(first int, limit int) []Entry {
	if first >= len(l.entries) {
		return nil
	}
	return slices.Clone(l.entries[first:min(len(l.entries), first+limit)])
}

// ApplyTo applies the first count entries, but only complete transactions. Entries
// that are applied already stay applied.
func (l *Log) ApplyTo(count int) {
	count = min(count, len(l.entries))
	for count > l.applied && !l.entries[count-1].Last {
		count--
	}
	for l.applied < count {
		l.apply(l.entries[l.applied])
		l.applied++
	}
}

// ApplyAll applies all complete transactions that are received.
func (l *Log) ApplyAll() {
	l.ApplyTo(len(l.entries))
}

// Truncate removes all but the first count entries and reports whether it removed
// any. If some of them were applied, it rebuilds the tables.
func (l *Log) Truncate(count int) bool {
	if count >= len(l.entries) {
		return false
	}
	l.entries = l.entries[:count:count]
	if l.applied > count {
		l.applied = 0
		l.tables = nil
		l.ApplyTo(count)
	}
	return true
}

// Rows returns a copy of a table's rows, or nil if the table does not exist.
func (l *Log) Rows(table string) []Row {
	return slices.Clone(l.tables[table])
}

// Entries returns a copy of all received entries.
func (l *Log) Entries() []Entry {
	return slices.Clone(l.entries)
}

// apply applies one entry to its table.
func (l *Log) apply(e Entry) {
	if l.tables == nil {
		l.tables = make(map[string][]Row)
	}
	l.tables[e.Table] = ApplyEntry(l.tables[e.Table], e)
}

// ApplyEntry applies an entry to the rows of its table and returns the result. It may
// change rows in place.
func ApplyEntry(rows []Row, e Entry) []Row {
	switch e.Operation {
	case OperationInsert:
		return append(rows, Row{Key: e.Key, Value: e.Value})
	case OperationUpdate:
		for i := range rows {
			if rows[i].Key == e.Key {
				rows[i].Value = e.Value
			}
		}
		return rows
	case OperationDelete:
		return slices.DeleteFunc(rows, func(r Row) bool { return r.Key == e.Key })
	}
	return rows
}
