/*
Package ctjournal keeps the durable state of a process in one file to which each
change is appended and synced, and which is written anew when most of it is out
of date.

It needs no memory mapping and no locks, and it holds all values in memory: it
is for a few megabytes of state. A record that was torn by a loss of power ends
the file; nothing behind it was ever promised. A disk that refuses a write is
tried again until it takes it, as one that is slow.

# Usage

	journal, err := ctjournal.Open(folder)
	err = journal.Put(ctstore.Write{Key: key, Value: value})
*/
package ctjournal
