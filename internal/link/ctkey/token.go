package ctkey

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

const tokenKeyBytes = 32

// TokenKey is a secret key that seals session tokens.
type TokenKey [tokenKeyBytes]byte

// AddTokenKey creates a token key and puts it before the existing ones in the folder's
// file. Processes that load the file seal tokens with the new key and still accept tokens
// that were sealed with the earlier ones.
func AddTokenKey(folder string) error {
	var key TokenKey
	if _, err := rand.Read(key[:]); err != nil {
		return keyError(err, "create a token key")
	}
	path := filepath.Join(folder, fileTokenKeys)
	existing, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return keyError(err, "read the token keys")
	}
	data := hex.EncodeToString(key[:]) + "\n" + string(existing)
	if err := os.WriteFile(path, []byte(data), secretMode); err != nil {
		return keyError(err, "write the token keys")
	}
	return nil
}

func loadTokenKeys(path string) ([]TokenKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError(err, "load the token keys")
	}
	var keys []TokenKey
	for _, line := range strings.Fields(string(data)) {
		raw, err := hex.DecodeString(line)
		if err != nil || len(raw) != tokenKeyBytes {
			return nil, cterror.New(cterror.Invalid, fileTokenKeys+" has a line that is not 64 hexadecimal digits", remedy)
		}
		keys = append(keys, TokenKey(raw))
	}
	if len(keys) == 0 {
		return nil, cterror.New(cterror.Invalid, fileTokenKeys+" holds no key", remedy)
	}
	return keys, nil
}
