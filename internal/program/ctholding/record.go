package ctholding

import (
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// recordStatement inserts the record of a request with an idempotency key. The
// key is the primary key of the table, so that a second insertion fails.
const recordStatement = "INSERT INTO cherviltrestle_requests (key, value) VALUES ('"

// sqlStateUniqueViolation is the SQLSTATE unique_violation.
const sqlStateUniqueViolation = "23505"

// prependRecord returns the request's payload with the insertion of its record in
// front. Both are one query and therefore run in one transaction.
func prependRecord(first *ctframe.FirstRequest) ([]byte, error) {
	key := strings.ReplaceAll(string(first.Caller)+"/"+string(first.Key), "'", "''")
	return ctbackend.PrependSQL(first.Payload, recordStatement+key+"', ''); ")
}

// handleRecordReply reports whether a message belongs to the insertion of the
// record and must not reach the caller. If the record exists already, that is true
// of the rest of the answer, too.
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
