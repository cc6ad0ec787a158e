package ctstandin

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
)

// textOID is the type of all columns and parameters.
const textOID = 25

// answerWriter gathers the messages of an answer.
type answerWriter struct {
	answer []byte
}

func (w *answerWriter) write(message pgproto3.BackendMessage) {
	data, err := message.Encode(w.answer)
	if err != nil {
		return
	}
	w.answer = data
}

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

// resultColumns returns the columns that a statement will return.
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
