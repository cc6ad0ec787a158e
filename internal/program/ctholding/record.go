package ctholding

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

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
func withRecord(open *ctframe.Open) ([]byte, error) {
	var query pgproto3.Query
	if len(open.Payload) < ctbackend.HeaderBytes || open.Payload[0] != 'Q' {
		return nil, errors.New("a request with an idempotency key is not a simple query")
	}
	if err := query.Decode(open.Payload[ctbackend.HeaderBytes:]); err != nil {
		return nil, errors.Wrap(err, "decode a query")
	}
	key := strings.ReplaceAll(string(open.Caller)+"/"+string(open.Key), "'", "''")
	query.String = recordStatement + key + "', ''); " + query.String
	payload, err := query.Encode(nil)
	return payload, errors.Wrap(err, "encode a query")
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
