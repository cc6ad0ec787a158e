package ctstore_test

import (
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
)

const owner = "control-1"

// openStore opens a store in the name of owner.
func openStore(t *testing.T, folder string) *ctstore.Store {
	t.Helper()
	store, err := ctstore.Open(folder, owner)
	assert.NilError(t, err)
	return store
}

// assertOpenFails checks the kind and the text of the error that Open returns for a
// process.
func assertOpenFails(t *testing.T, folder, process string, want cterror.Kind, wantText string) {
	t.Helper()
	_, err := ctstore.Open(folder, process)
	assert.ErrorContains(t, err, wantText)
	assert.Equal(t, cterror.KindOf(err), want)
}

func TestStore(t *testing.T) {
	key, value := []byte("key"), []byte("value")
	t.Run("restores the values after a restart", func(t *testing.T) {
		folder := t.TempDir()
		store := openStore(t, folder)
		assert.NilError(t, store.Put(ctstore.Write{Key: key, Value: value}))
		assert.NilError(t, store.Close())
		store = openStore(t, folder)
		defer func() { _ = store.Close() }()
		got, err := store.Get(key)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, value)
	})
	t.Run("ranges over a prefix in order", func(t *testing.T) {
		store := openStore(t, t.TempDir())
		defer func() { _ = store.Close() }()
		for _, k := range []string{"a/2", "a/1", "b/1"} {
			assert.NilError(t, store.Put(ctstore.Write{Key: []byte(k), Value: value}))
		}
		var keys []string
		assert.NilError(t, store.Range([]byte("a/"), func(k, _ []byte) error {
			keys = append(keys, string(k))
			return nil
		}))
		assert.DeepEqual(t, keys, []string{"a/1", "a/2"})
	})
	t.Run("refuses the folder of another process", func(t *testing.T) {
		folder := t.TempDir()
		assert.NilError(t, openStore(t, folder).Close())
		assertOpenFails(t, folder, "control-2", cterror.Conflict, "belongs to control-1")
	})
	t.Run("refuses a folder that is in use", func(t *testing.T) {
		folder := t.TempDir()
		store := openStore(t, folder)
		defer func() { _ = store.Close() }()
		assertOpenFails(t, folder, owner, cterror.Conflict, "state file")
	})
	t.Run("refuses a file that is not a state file", func(t *testing.T) {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "state.db"), make([]byte, 8192), 0o600))
		assertOpenFails(t, folder, owner, cterror.Invalid, "state file")
	})
	t.Run("detects a damaged value", func(t *testing.T) {
		folder := t.TempDir()
		store := openStore(t, folder)
		assert.NilError(t, store.Put(ctstore.Write{Key: key, Value: value}))
		assert.NilError(t, store.Close())
		corrupt(t, folder, key)
		store = openStore(t, folder)
		defer func() { _ = store.Close() }()
		_, err := store.Get(key)
		assert.ErrorContains(t, err, "damaged")
	})
}

// corrupt changes the last byte of a stored value in the file of a closed store.
func corrupt(t *testing.T, folder string, key []byte) {
	t.Helper()
	database, err := bbolt.Open(filepath.Join(folder, "state.db"), 0o600, nil)
	assert.NilError(t, err)
	defer func() { _ = database.Close() }()
	assert.NilError(t, database.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte("state"))
		stored := append([]byte(nil), b.Get(key)...)
		stored[len(stored)-1] ^= 1
		return b.Put(key, stored)
	}))
}
