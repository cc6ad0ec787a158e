package ctbackend

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// confirmationName names the statement and the portal of a confirmation, and begins its text.
const confirmationName = "cherviltrestle_confirmation"

// confirmationParameter is the PostgreSQL parameter that holds the text in a transaction.
const confirmationParameter = "cherviltrestle.confirmation"

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
	statements := confirmation(text, c.transactionStatus)
	payload, err := encodeNamed(statements)
	if err != nil {
		return errors.Wrap(err, "encode a confirmation")
	}
	before := c.transactionStatus
	var collector rowCollector
	if _, err := c.Run(ctx, payload, &collector); err != nil {
		return err
	}
	if c.transactionStatus != before || !collector.confirms(text, before, len(statements)) {
		return c.fail(DoubtUnconfirmed, "another answer came in place of a confirmation")
	}
	return nil
}

// confirmation returns the statements that return the text. In a transaction they take no
// snapshot, as the caller's next statement may be a SET TRANSACTION, which must come before any
// that does. Outside of one, SET LOCAL would leave a warning in the backend server's log.
func confirmation(text string, state byte) []string {
	if state == TransactionIdle {
		return []string{"SELECT '" + text + "'"}
	}
	return []string{"SET LOCAL " + confirmationParameter + " = '" + text + "'", "SHOW " + confirmationParameter}
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
// given transaction state. The confirmation has as many statements as endings.
func (r *rowCollector) confirms(text string, state byte, endings int) bool {
	if state == TransactionFailed {
		return r.errorResponse != nil && r.errorResponse.Code == sqlStateAborted && r.endings == 0
	}
	return r.errorResponse == nil && r.endings == endings &&
		len(r.rows) == 1 && len(r.rows[0]) == 1 && r.rows[0][0] == text
}
