package ctjournal

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
)

const (
	fileName     = "journal"
	nextFileName = "journal.next"
	folderMode   = 0o700
	fileMode     = 0o600
	// compactMinBytes is the file size above which the file may be compacted.
	compactMinBytes = 4 << 20
	// compactRatio is the ratio of the file's size to the size of the stored keys and
	// values above which the file is compacted.
	compactRatio = 3
	// retryDelay is the pause before a failed write is tried again.
	retryDelay = 200 * time.Millisecond
)

// Journal is the durable state of a process. Put, Get and Range may be called from
// several goroutines.
type Journal struct {
	folder string
	// OnWriteError is called for each write that the disk refused. It may be nil, and
	// it must be set before the first Put. It must not use the Journal, because the
	// mutex is locked when it is called.
	OnWriteError func(err error)

	// mutex protects the fields below.
	mutex sync.Mutex
	file  *os.File
	// fileBytes is the size of the file's whole records. The next record starts there.
	fileBytes int64
	// liveBytes is the total size of the keys and values in values.
	liveBytes int64
	values    map[string][]byte
}

// Open opens the journal in a folder. It creates the folder and the file if they
// don't exist.
func Open(folder string) (*Journal, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "create the data folder", "check the path and its rights")
	}
	j := &Journal{folder: folder, values: make(map[string][]byte)}
	file, err := os.OpenFile(filepath.Join(folder, fileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "open the journal", "check the path and its rights")
	}
	j.file = file
	if err := j.replay(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return j, j.syncFolder()
}

// replay applies the records of the file up to the first one that is torn or
// damaged, and cuts the file off there.
func (j *Journal) replay() error {
	data, err := os.ReadFile(filepath.Join(j.folder, fileName))
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "read the journal", "check the disk's health")
	}
	for {
		writes, n := decode(data[j.fileBytes:])
		if n == 0 {
			break
		}
		j.fileBytes += int64(n)
		j.apply(writes)
	}
	if j.fileBytes == int64(len(data)) {
		return nil
	}
	if err := j.file.Truncate(j.fileBytes); err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "drop a torn record", "check the disk's health")
	}
	return nil
}

// apply changes the values in memory. The mutex must be locked, except in Open.
func (j *Journal) apply(writes []ctstore.Write) {
	for _, w := range writes {
		key := string(w.Key)
		if old, ok := j.values[key]; ok {
			j.liveBytes -= int64(len(key) + len(old))
			delete(j.values, key)
		}
		if w.Value != nil {
			j.values[key] = bytes.Clone(w.Value)
			j.liveBytes += int64(len(key) + len(w.Value))
		}
	}
}

// Put makes the writes durable, all or none, and returns once they are synced. If
// the disk refuses them, Put tries again until it succeeds, and Get and Range wait
// meanwhile. The only error is cterror.Unavailable, once the journal is closed.
func (j *Journal) Put(writes ...ctstore.Write) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	record := encode(writes)
	for {
		err := j.append(record)
		if err == nil {
			break
		}
		if errors.Is(err, os.ErrClosed) {
			return cterror.Wrap(cterror.Unavailable, err, "write the state", "the process stops")
		}
		if j.OnWriteError != nil {
			j.OnWriteError(err)
		}
		time.Sleep(retryDelay)
	}
	j.apply(writes)
	if j.fileBytes > compactMinBytes && j.fileBytes > compactRatio*j.liveBytes {
		j.compact()
	}
	return nil
}

// append writes a record after the last whole one and syncs the file. After a
// failure, the next append overwrites what was written.
func (j *Journal) append(record []byte) error {
	if _, err := j.file.WriteAt(record, j.fileBytes); err != nil {
		return errors.Wrap(err, "write the journal")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(err, "sync the journal")
	}
	j.fileBytes += int64(len(record))
	return nil
}

// compact replaces the file by a new one that contains only the current values. If
// that fails, it reports the error to OnWriteError and the old file remains in use.
func (j *Journal) compact() {
	if err := j.rewrite(); err != nil && j.OnWriteError != nil {
		j.OnWriteError(err)
	}
}

// rewrite writes the current values to a new file as one record, and renames it to
// the name of the old one.
func (j *Journal) rewrite() error {
	var writes []ctstore.Write
	for _, key := range slices.Sorted(maps.Keys(j.values)) {
		writes = append(writes, ctstore.Write{Key: []byte(key), Value: j.values[key]})
	}
	record := encode(writes)
	path := filepath.Join(j.folder, nextFileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "open the new journal")
	}
	if err := writeAndSync(file, record); err != nil {
		_ = file.Close()
		return err
	}
	if err := os.Rename(path, filepath.Join(j.folder, fileName)); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "replace the journal")
	}
	_ = j.file.Close()
	j.file, j.fileBytes = file, int64(len(record))
	return j.syncFolderUntilDone()
}

// syncFolderUntilDone syncs the folder, and tries again until that succeeds or the
// folder no longer exists. Nothing may be appended to the new file before: after a
// loss of power, the old file could be back under its name.
func (j *Journal) syncFolderUntilDone() error {
	for {
		err := j.syncFolder()
		if err == nil || errors.Is(err, os.ErrNotExist) {
			return err
		}
		if j.OnWriteError != nil {
			j.OnWriteError(err)
		}
		time.Sleep(retryDelay)
	}
}

// writeAndSync writes a record to the start of a new file and syncs it.
func writeAndSync(file *os.File, record []byte) error {
	if _, err := file.WriteAt(record, 0); err != nil {
		return errors.Wrap(err, "write the new journal")
	}
	return errors.Wrap(file.Sync(), "sync the new journal")
}

// syncFolder makes the names of the folder's files durable.
func (j *Journal) syncFolder() error {
	folder, err := os.Open(j.folder)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	defer func() { _ = folder.Close() }()
	return errors.Wrap(folder.Sync(), "sync the data folder")
}

// Get returns a copy of a key's value, or nil if there is none. The error is always
// nil.
func (j *Journal) Get(key []byte) ([]byte, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return bytes.Clone(j.values[string(key)]), nil
}

// Range calls visit with a copy of each key that begins with prefix and of its
// value, in ascending order. It stops at the first error of visit and returns it.
// visit must not use the Journal, because the mutex is locked.
func (j *Journal) Range(prefix []byte, visit func(key, value []byte) error) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(j.values)) {
		if !bytes.HasPrefix([]byte(key), prefix) {
			continue
		}
		if err := visit([]byte(key), bytes.Clone(j.values[key])); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file. Put then returns an error.
func (j *Journal) Close() error {
	return errors.Wrap(j.file.Close(), "close the journal")
}
