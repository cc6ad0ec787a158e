package cttoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// The layout of a token before its base64 encoding: a version of 1 byte, a term and a
// position of 8 bytes each, and a seal.
const (
	tokenVersion   = 1
	termOffset     = 1
	positionOffset = 9
	sealOffset     = 17
	sealBytes      = 16
	tokenBytes     = sealOffset + sealBytes
)

// Sealer creates and verifies tokens.
type Sealer struct {
	// Keys are the token keys of the fleet. Seal uses the first one. Open accepts the
	// seals of all of them, so that tokens stay valid after a new key is added.
	Keys []ctkey.TokenKey
}

// Seal returns the token for a point in a group's log. Keys must not be empty.
func (s *Sealer) Seal(group ctid.Group, point ctposition.Point) string {
	data := make([]byte, sealOffset, tokenBytes)
	data[0] = tokenVersion
	binary.BigEndian.PutUint64(data[termOffset:], uint64(point.Term))
	binary.BigEndian.PutUint64(data[positionOffset:], uint64(point.Position))
	data = append(data, computeSeal(&s.Keys[0], group, data)...)
	return base64.RawURLEncoding.EncodeToString(data)
}

// Open verifies a token for the group and returns its point. Errors are of kind
// cterror.Invalid.
func (s *Sealer) Open(group ctid.Group, token string) (ctposition.Point, error) {
	data, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(data) != tokenBytes || data[0] != tokenVersion {
		return ctposition.Point{}, invalidTokenError("can't be read")
	}
	for i := range s.Keys {
		if hmac.Equal(data[sealOffset:], computeSeal(&s.Keys[i], group, data[:sealOffset])) {
			return ctposition.Point{
				Term:     ctposition.Term(binary.BigEndian.Uint64(data[termOffset:])),
				Position: ctposition.Position(binary.BigEndian.Uint64(data[positionOffset:])),
			}, nil
		}
	}
	return ctposition.Point{}, invalidTokenError("is not sealed by this fleet for this group")
}

// invalidTokenError returns the error for a rejected token. The fault continues the
// sentence that begins with "session token".
func invalidTokenError(fault string) error {
	return cterror.New(cterror.Invalid, "session token "+fault,
		"present the last cherviltrestle.token that a proxy of this fleet gave for the group, or none")
}

// computeSeal returns the seal of a token's fields. The seal covers the group's name too,
// so a token of one group is not valid for another.
func computeSeal(key *ctkey.TokenKey, group ctid.Group, data []byte) []byte {
	mac := hmac.New(sha256.New, key[:])
	mac.Write(data)
	mac.Write([]byte(group))
	return mac.Sum(nil)[:sealBytes]
}
