package ctstandin

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
)

// textOID is PostgreSQL's type number of text. All columns and parameters are text.
const textOID = 25

// answerWriter encodes the messages of one answer into a buffer.
type answerWriter struct {
	answer []byte
}

// write appends a message. A message that can't be encoded is left out.
func (w *answerWriter) write(message pgproto3.BackendMessage) {
	data, err := message.Encode(w.answer)
	if err != nil {
		return
	}
	w.answer = data
}

// writeError appends an error response. An error without an SQLSTATE is a syntax
// error (42601).
func (w *answerWriter) writeError(err error) {
	code := "42601"
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		code = sqlErr.state
	}
	w.write(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error(),
	})
}

// writeRowDescription describes the columns, or reports that there are none.
func (w *answerWriter) writeRowDescription(columns []string) {
	if len(columns) == 0 {
		w.write(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		}
	}
	w.write(&pgproto3.RowDescription{Fields: fields})
}

// writeResult appends the rows and the command tag.
func (w *answerWriter) writeResult(r result) {
	for _, row := range r.rows {
		columns := make([][]byte, len(row))
		for i, c := range row {
			columns[i] = []byte(c)
		}
		w.write(&pgproto3.DataRow{Values: columns})
	}
	w.write(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

func (w *answerWriter) writeReady(status byte) {
	w.write(&pgproto3.ReadyForQuery{TxStatus: status})
}

// resultColumns returns the names of the columns that a statement returns, or nil
// if it returns no rows.
func resultColumns(statement ctsql.Statement) []string {
	switch statement.(type) {
	case ctsql.Select:
		return []string{"value"}
	case ctsql.SelectAll:
		return []string{"key", "value"}
	case ctsql.Count:
		return []string{"count"}
	case ctsql.Sleep:
		return []string{"pg_sleep"}
	}
	if ctsql.ReturnsRows(statement) {
		return []string{"?column?"}
	}
	return nil
}
