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
	// compactMinBytes is the size from which a file may be written anew.
	compactMinBytes = 4 << 20
	// compactRatio is how many times larger than its content a file may grow.
	compactRatio = 3
	// retryDelay is the pause before a refused write is tried again.
	retryDelay = 200 * time.Millisecond
)

// Journal is the durable state of a process.
type Journal struct {
	folder string
	// OnWriteError is called for each write that the disk refused; nil for none.
	OnWriteError func(err error)

	mutex     sync.Mutex
	file      *os.File
	fileBytes int64
	liveBytes int64
	values    map[string][]byte
}

// Open opens the journal in a folder and creates it where there is none.
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

// replay reads the file up to its first torn record and drops what follows.
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

// Put makes the writes durable, all or none. It returns once they are synced;
// where the disk refuses them, it tries again until it takes them.
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

// append writes a record behind the last whole one and syncs it.
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

// compact writes the values into a new file, which takes the place of the old
// one. Where that fails the old one stays.
func (j *Journal) compact() {
	if err := j.rewrite(); err != nil && j.OnWriteError != nil {
		j.OnWriteError(err)
	}
}

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

// syncFolderUntilDone makes the new name durable before anything is appended: a
// loss of power would otherwise bring the old file back.
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

func writeAndSync(file *os.File, record []byte) error {
	if _, err := file.WriteAt(record, 0); err != nil {
		return errors.Wrap(err, "write the new journal")
	}
	return errors.Wrap(file.Sync(), "sync the new journal")
}

func (j *Journal) syncFolder() error {
	folder, err := os.Open(j.folder)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	defer func() { _ = folder.Close() }()
	return errors.Wrap(folder.Sync(), "sync the data folder")
}

// Get returns the value of a key, or nil where there is none.
func (j *Journal) Get(key []byte) ([]byte, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return bytes.Clone(j.values[string(key)]), nil
}

// Range calls visit for the keys that begin with prefix, in ascending order.
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

// Close closes the file.
func (j *Journal) Close() error {
	return errors.Wrap(j.file.Close(), "close the journal")
}
