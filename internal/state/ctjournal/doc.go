/*
Package ctjournal stores the durable state of a process, as keys and values, in an
append-only file. It is meant for a few megabytes of state, because it holds all
values in memory.

# File

Each change is appended to the file as one record with a checksum, and synced. When
the file has grown to several times the size of its current values, it is replaced
by a compacted one. The file is neither mapped into memory nor locked.

After a loss of power, the last record may be incomplete. Open removes it and what
follows. Nothing is lost by that, because Put had not returned for that record.

If the disk refuses a write, Put tries again until the write succeeds. To the
process, such a disk is the same as a slow one.

# Usage

	journal, err := ctjournal.Open(folder)
	err = journal.Put(ctstore.Write{Key: key, Value: value})
	value, err := journal.Get(key)
*/
package ctjournal
