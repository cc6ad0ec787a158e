package ctjournal_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/state/ctjournal"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
)

// openJournal opens a journal, which is closed at the end of the test.
func openJournal(t *testing.T, folder string) *ctjournal.Journal {
	t.Helper()
	j, err := ctjournal.Open(folder)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = j.Close() })
	return j
}

// put writes one value. An empty value removes the key.
func put(t *testing.T, j *ctjournal.Journal, key, value string) {
	t.Helper()
	w := ctstore.Write{Key: []byte(key)}
	if value != "" {
		w.Value = []byte(value)
	}
	assert.NilError(t, j.Put(w))
}

func assertValue(t *testing.T, j *ctjournal.Journal, key, want string) {
	t.Helper()
	got, err := j.Get([]byte(key))
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

func TestJournal(t *testing.T) {
	t.Run("restores the values after a restart", func(t *testing.T) {
		folder := t.TempDir()
		j := openJournal(t, folder)
		put(t, j, "a", "1")
		put(t, j, "b", "2")
		put(t, j, "a", "3")
		put(t, j, "b", "")
		reopened := openJournal(t, folder)
		assertValue(t, reopened, "a", "3")
		assertValue(t, reopened, "b", "")
	})
	t.Run("restores all writes of a call or none after a torn write", func(t *testing.T) {
		folder := t.TempDir()
		j := openJournal(t, folder)
		put(t, j, "a", "1")
		size := fileSize(t, folder)
		assert.NilError(t, j.Put(
			ctstore.Write{Key: []byte("a"), Value: []byte("2")}, ctstore.Write{Key: []byte("b"), Value: []byte("2")}))
		whole := fileSize(t, folder)
		for cut := size; cut < whole; cut++ {
			tornFolder := t.TempDir()
			data, err := os.ReadFile(filepath.Join(folder, "journal"))
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(filepath.Join(tornFolder, "journal"), data[:cut], 0o600))
			tornJournal := openJournal(t, tornFolder)
			assertValue(t, tornJournal, "a", "1")
			assertValue(t, tornJournal, "b", "")
			put(t, tornJournal, "c", "3")
			assertValue(t, openJournal(t, tornFolder), "c", "3")
		}
	})
	t.Run("stops the replay at a damaged record", func(t *testing.T) {
		folder := t.TempDir()
		j := openJournal(t, folder)
		put(t, j, "a", "1")
		size := fileSize(t, folder)
		put(t, j, "a", "2")
		path := filepath.Join(folder, "journal")
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		data[size+9] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		assertValue(t, openJournal(t, folder), "a", "1")
	})
	t.Run("ranges over a prefix in order", func(t *testing.T) {
		j := openJournal(t, t.TempDir())
		for _, key := range []string{"e/2", "e/1", "f", "e/3"} {
			put(t, j, key, key)
		}
		var keys []string
		assert.NilError(t, j.Range([]byte("e/"), func(key, _ []byte) error {
			keys = append(keys, string(key))
			return nil
		}))
		assert.DeepEqual(t, keys, []string{"e/1", "e/2", "e/3"})
	})
	t.Run("compacts the file when most of it is outdated", func(t *testing.T) {
		folder := t.TempDir()
		j := openJournal(t, folder)
		value := string(bytes.Repeat([]byte("x"), 64<<10))
		for i := range 200 {
			put(t, j, fmt.Sprintf("k%d", i%4), value)
		}
		assert.Assert(t, fileSize(t, folder) < 5<<20)
		reopened := openJournal(t, folder)
		for i := range 4 {
			assertValue(t, reopened, fmt.Sprintf("k%d", i), value)
		}
	})
}

// fileSize returns the size of the journal's file in bytes.
func fileSize(t *testing.T, folder string) int64 {
	t.Helper()
	info, err := os.Stat(filepath.Join(folder, "journal"))
	assert.NilError(t, err)
	return info.Size()
}

// FuzzReplay checks that a journal with any content can be opened, and that a value
// put into it is found after the next opening.
func FuzzReplay(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0, 4, 1, 2, 3, 4, 1, 'a', 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "journal"), data, 0o600))
		j := openJournal(t, folder)
		put(t, j, "a", "1")
		assertValue(t, openJournal(t, folder), "a", "1")
	})
}
