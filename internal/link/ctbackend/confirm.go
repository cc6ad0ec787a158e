package ctbackend

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// confirmationName names the statement and the portal of a confirmation, and begins its text.
const confirmationName = "cherviltrestle_confirmation"

// confirmationParameter is the PostgreSQL parameter that holds the text.
const confirmationParameter = "cherviltrestle.confirmation"

// confirmationEndings is how many statements a confirmation has.
const confirmationEndings = 2

// sqlStateAborted is the SQLSTATE in_failed_sql_transaction.
const sqlStateAborted = "25P02"

// Confirm makes sure that the answers that were read since the last call are those to the
// requests that were sent since then. It makes the backend server return a text that it never
// returned on the connection before: if it had sent one answer too many, the text would not be
// next. If it isn't, the connection is broken. In an aborted transaction, which allows no
// statement, only the error that says so must be next.
func (c *Conn) Confirm(ctx context.Context) error {
	c.confirmations++
	text := confirmationName + "-" + strconv.FormatUint(c.confirmations, 10)
	payload, err := encodeNamed(confirmation(text, c.transactionStatus))
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

// confirmation returns the statements that return the text. They take neither a slot nor a
// snapshot: the caller's next statement may be a SET TRANSACTION, which must come before any that
// does. Outside a transaction, SET LOCAL would leave a warning in the backend server's log;
// DISCARD ALL undoes what SET leaves.
func confirmation(text string, state byte) []string {
	set := "SET LOCAL "
	if state == TransactionIdle {
		set = "SET "
	}
	return []string{set + confirmationParameter + " = '" + text + "'", "SHOW " + confirmationParameter}
}

// encodeNamed encodes a request that runs statements under a name. A simple query would destroy
// the caller's unnamed statement and portal.
func encodeNamed(statements []string) ([]byte, error) {
	const name = confirmationName
	var payload []byte
	for _, sql := range statements {
		for _, message := range []pgproto3.FrontendMessage{
			&pgproto3.Parse{Name: name, Query: sql},
			&pgproto3.Bind{DestinationPortal: name, PreparedStatement: name},
			&pgproto3.Execute{Portal: name},
			&pgproto3.Close{ObjectType: 'P', Name: name},
			&pgproto3.Close{ObjectType: 'S', Name: name},
		} {
			var err error
			if payload, err = message.Encode(payload); err != nil {
				return nil, err
			}
		}
	}
	return (&pgproto3.Sync{}).Encode(payload)
}

// confirms reports whether the answer is the one to the confirmation with the text, in the
// given transaction state.
func (r *rowCollector) confirms(text string, state byte) bool {
	if state == TransactionFailed {
		return r.errorResponse != nil && r.errorResponse.Code == sqlStateAborted && r.endings == 0
	}
	return r.errorResponse == nil && r.endings == confirmationEndings &&
		len(r.rows) == 1 && len(r.rows[0]) == 1 && r.rows[0][0] == text
}
