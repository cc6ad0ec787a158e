package ctstandin

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
)

// textOID is the type of all columns and parameters.
const textOID = 25

// writer gathers the messages of an answer.
type writer struct {
	data []byte
}

func (w *writer) send(message pgproto3.BackendMessage) {
	data, err := message.Encode(w.data)
	if err != nil {
		return
	}
	w.data = data
}

func (w *writer) fail(err error) {
	code := "42601"
	var f *failure
	if errors.As(err, &f) {
		code = f.code
	}
	w.send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error(),
	})
}

func (w *writer) describe(columns []string) {
	if len(columns) == 0 {
		w.send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		}
	}
	w.send(&pgproto3.RowDescription{Fields: fields})
}

func (w *writer) rows(r result) {
	for _, row := range r.rows {
		columns := make([][]byte, len(row))
		for i, c := range row {
			columns[i] = []byte(c)
		}
		w.send(&pgproto3.DataRow{Values: columns})
	}
	w.send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

func (w *writer) ready(status byte) {
	w.send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// columnsOf returns the columns that a statement will return.
func columnsOf(statement ctsql.Statement) []string {
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
