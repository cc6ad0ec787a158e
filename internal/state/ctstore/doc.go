/*
Package ctstore stores the durable state of a process, as keys and values, in one
bbolt file. bbolt syncs the file before a write returns.

# Layout

The file lies in the data folder and has one bucket. Keys are short names or
numbers. Each value begins with a CRC-32C of its content, by which a torn or damaged
value is detected when it is read. The file also contains the name of the process
that owns it, so that a process doesn't use the data folder of another one.

# Usage

	store, err := ctstore.Open(folder, "control-1")
	err = store.Put(ctstore.Write{Key: key, Value: value})
	value, err := store.Get(key)
*/
package ctstore
