package ctstore

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

const (
	fileName    = "state.db"
	folderMode  = 0o700
	fileMode    = 0o600
	lockTimeout = 2 * time.Second
	crcBytes    = 4
)

var (
	bucketName = []byte("state")
	ownerKey   = []byte("\x00owner")
	crcTable   = crc32.MakeTable(crc32.Castagnoli)
)

// Store is a process's durable state. Its methods may be called from several
// goroutines.
type Store struct {
	database *bbolt.DB
}

// Write is a change of one key. A nil value removes the key.
type Write struct {
	Key   []byte
	Value []byte
}

// Open opens the state file in a data folder. It creates the folder and the file if
// they don't exist. The owner is the name of the process. The error has the kind
// cterror.Conflict if another process uses the file or the file has another owner.
// It has the kind cterror.Invalid if the file can't be opened for another reason.
func Open(folder string, owner string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "create the data folder", "check the path and its rights")
	}
	path := filepath.Join(folder, fileName)
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, openError(err)
	}
	store := &Store{database: database}
	if err := store.claim(owner); err != nil {
		_ = database.Close()
		return nil, err
	}
	return store, nil
}

// openError returns the error of Open for an error of bbolt.
func openError(err error) error {
	if errors.Is(err, bolterrors.ErrTimeout) {
		return cterror.Wrap(cterror.Conflict, err, "open the state file",
			"stop the other process that uses this data folder")
	}
	return cterror.Wrap(cterror.Invalid, err, "open the state file",
		"move the file away; this process then starts with an empty disk and catches up from the others")
}

// claim checks that the file belongs to owner. It records owner in a new file.
func (s *Store) claim(owner string) error {
	found, err := s.Get(ownerKey)
	if err != nil {
		return err
	}
	if found == nil {
		return s.Put(Write{Key: ownerKey, Value: []byte(owner)})
	}
	if string(found) != owner {
		return cterror.Newf(cterror.Conflict, "give each process a data folder of its own",
			"the data folder belongs to %s and not to %s", found, owner)
	}
	return nil
}

// Put makes the writes durable, all or none, and returns once they are synced.
func (s *Store) Put(writes ...Write) error {
	err := s.database.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		for _, w := range writes {
			if err := put(b, w); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "write the state", "check the disk's space and health")
	}
	return nil
}

// put performs one write and adds the checksum to its value.
func put(b *bbolt.Bucket, w Write) error {
	if w.Value == nil {
		return b.Delete(w.Key)
	}
	value := make([]byte, crcBytes, crcBytes+len(w.Value))
	binary.BigEndian.PutUint32(value, crc32.Checksum(w.Value, crcTable))
	return b.Put(w.Key, append(value, w.Value...))
}

// Get returns a copy of a key's value, or nil if there is none. If the value is
// damaged, the error has the kind cterror.Invalid.
func (s *Store) Get(key []byte) ([]byte, error) {
	var value []byte
	err := s.database.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketName)
		if b == nil {
			return nil
		}
		var err error
		value, err = decodeValue(key, b.Get(key))
		return err
	})
	return value, err
}

// Range calls visit for each key that begins with prefix, in ascending order. It
// stops at the first error of visit and returns it. The key is valid only during the
// call. visit must not call Put.
func (s *Store) Range(prefix []byte, visit func(key, value []byte) error) error {
	return s.database.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketName)
		if b == nil {
			return nil
		}
		cursor := b.Cursor()
		for k, v := cursor.Seek(prefix); hasPrefix(k, prefix); k, v = cursor.Next() {
			value, err := decodeValue(k, v)
			if err != nil {
				return err
			}
			if err := visit(k, value); err != nil {
				return err
			}
		}
		return nil
	})
}

func hasPrefix(key, prefix []byte) bool {
	return len(key) >= len(prefix) && string(key[:len(prefix)]) == string(prefix)
}

// decodeValue checks the checksum of a stored value and returns a copy of the value
// without it. It returns nil if stored is nil.
func decodeValue(key, stored []byte) ([]byte, error) {
	if stored == nil {
		return nil, nil
	}
	if len(stored) < crcBytes || binary.BigEndian.Uint32(stored) != crc32.Checksum(stored[crcBytes:], crcTable) {
		return nil, cterror.Newf(cterror.Invalid,
			"move the file away; this process then starts with an empty disk and catches up from the others",
			"the state file is damaged at key %x", key)
	}
	value := make([]byte, len(stored)-crcBytes)
	copy(value, stored[crcBytes:])
	return value, nil
}

// Close closes the state file.
func (s *Store) Close() error {
	return errors.Wrap(s.database.Close(), "close the state file")
}
