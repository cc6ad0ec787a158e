package ctbackend

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// typeQuery is the type byte of a simple query.
const typeQuery = 'Q'

// PrependSQL returns the simple query in payload with sql in front of its text. If
// payload is not a simple query, the error has the kind cterror.Invalid.
func PrependSQL(payload []byte, sql string) ([]byte, error) {
	if len(payload) < HeaderBytes || payload[0] != typeQuery {
		return nil, cterror.New(cterror.Invalid, "the request is not a simple query", "send one statement as a query")
	}
	var query pgproto3.Query
	if err := query.Decode(payload[HeaderBytes:]); err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "decode a query", "send one statement as a query")
	}
	query.String = sql + query.String
	prefixed, err := query.Encode(nil)
	return prefixed, errors.Wrap(err, "encode a query")
}
