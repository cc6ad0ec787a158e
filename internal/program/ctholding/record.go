package ctholding

import (
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// recordStatement writes the record of a request that has an idempotency key.
// The table has one row for each key; a second one violates its primary key.
const recordStatement = "INSERT INTO cherviltrestle_requests (key, value) VALUES ('"

// stateDuplicate is the SQLSTATE unique_violation.
const stateDuplicate = "23505"

// withRecord puts the writing of the request's record in front of its statement,
// in one query and so in one transaction.
func withRecord(open *ctframe.FirstRequest) ([]byte, error) {
	key := strings.ReplaceAll(string(open.Caller)+"/"+string(open.Key), "'", "''")
	return ctbackend.PrependSQL(open.Payload, recordStatement+key+"', ''); ")
}

// recorded takes a message that may belong to the writing of the record, and
// reports whether it does.
func (r *relay) recorded(message ctbackend.Message) bool {
	if !r.recording {
		return false
	}
	switch message.Type() {
	case ctbackend.TypeCommandComplete:
		r.recording = false
		return true
	case ctbackend.TypeErrorResponse:
		r.before = ctbackend.ErrorCode(message) == stateDuplicate
		r.recording = r.before
		return r.before
	}
	return r.before
}
