package ctholding

import (
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// recordStatement writes the record of a request that has an idempotency key.
// The table has one row for each key; a second one violates its primary key.
const recordStatement = "INSERT INTO cherviltrestle_requests (key, value) VALUES ('"

// sqlStateUniqueViolation is the SQLSTATE unique_violation.
const sqlStateUniqueViolation = "23505"

// prependRecord puts the writing of the request's record in front of its statement,
// in one query and so in one transaction.
func prependRecord(first *ctframe.FirstRequest) ([]byte, error) {
	key := strings.ReplaceAll(string(first.Caller)+"/"+string(first.Key), "'", "''")
	return ctbackend.PrependSQL(first.Payload, recordStatement+key+"', ''); ")
}

// handleRecordReply takes a message that may belong to the writing of the record, and
// reports whether it does.
func (r *relay) handleRecordReply(message ctbackend.Message) bool {
	if !r.awaitingRecord {
		return false
	}
	switch message.Type() {
	case ctbackend.TypeCommandComplete:
		r.awaitingRecord = false
		return true
	case ctbackend.TypeErrorResponse:
		r.duplicate = ctbackend.ErrorCode(message) == sqlStateUniqueViolation
		r.awaitingRecord = r.duplicate
		return r.duplicate
	}
	return r.duplicate
}
