package ctbackend

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// ConfirmationPrefix begins the text that a confirming statement selects.
const ConfirmationPrefix = "cherviltrestle-confirm-"

// sqlStateAborted is the SQLSTATE in_failed_sql_transaction.
const sqlStateAborted = "25P02"

// Confirm makes sure that the answers that were read since the last call are those to the
// requests that were sent since then. It selects a text that was never selected on the
// connection before: if the backend server had sent one answer too many, the text would not
// be next. If it isn't, the connection is broken. In an aborted transaction, which allows no
// statement, only the error that says so must be next.
func (c *Conn) Confirm(ctx context.Context) error {
	c.confirmations++
	text := ConfirmationPrefix + strconv.FormatUint(c.confirmations, 10)
	payload, err := (&pgproto3.Query{String: "SELECT '" + text + "'"}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode a confirmation")
	}
	before := c.transactionStatus
	var collector rowCollector
	if _, err := c.Run(ctx, payload, &collector); err != nil {
		return err
	}
	if c.transactionStatus != before || !collector.confirms(text, before) {
		return c.fail(DoubtUnconfirmed, "another answer came in place of a confirmation")
	}
	return nil
}

// confirms reports whether the answer is the one to the confirmation with the text, in the
// given transaction state.
func (r *rowCollector) confirms(text string, state byte) bool {
	if state == TransactionFailed {
		return r.errorResponse != nil && r.errorResponse.Code == sqlStateAborted && r.endings == 0
	}
	return r.errorResponse == nil && r.endings == 1 &&
		len(r.rows) == 1 && len(r.rows[0]) == 1 && r.rows[0][0] == text
}
