/*
Package ctstore keeps a process's durable state in one file, which bbolt syncs
to disk before a write counts.

# Layout

The file lies in the data folder and has one bucket. Keys are short names or
numbers; values begin with a CRC-32C of the rest, so that a value that was torn
or changed is found when it is read. The file names the process that it belongs
to, so that a data folder is not taken for another's.

# Usage

	store, err := ctstore.Open(folder, "control-1")
	err = store.Put(ctstore.Write{Key: key, Value: value})
	value, err := store.Get(key)
*/
package ctstore
