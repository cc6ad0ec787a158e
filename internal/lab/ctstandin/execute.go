package ctstandin

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
)

// requestsTable holds the records of requests with idempotency keys. It alone has a
// primary key; other tables accept rows with equal keys.
const requestsTable = "cherviltrestle_requests"

// maxEntriesPerRead is the maximum number of log entries in one answer.
const maxEntriesPerRead = 500

// result is what a statement returns.
type result struct {
	columns []string
	rows    [][]string
	tag     string
	// pending reports that the log has no entries to return yet.
	pending bool
}

// sqlError is an error response with an SQLSTATE.
type sqlError struct {
	state   string
	message string
}

// Error returns the message.
func (e *sqlError) Error() string {
	return e.message
}

// execute runs one statement. The caller has locked the database.
func (s *session) execute(d *database, statement ctsql.Statement, parameters []string) (result, error) {
	if s.failed {
		return s.executeInFailedTransaction(statement)
	}
	switch st := statement.(type) {
	case ctsql.Begin:
		s.inTransaction, s.readOnly = true, st.ReadOnly
		return result{tag: "BEGIN"}, nil
	case ctsql.Commit:
		return s.commit(d)
	case ctsql.Rollback:
		s.endTransaction()
		return result{tag: "ROLLBACK"}, nil
	case ctsql.Set:
		return s.applySetting(st)
	case ctsql.SetTransaction:
		return s.setTransaction()
	case ctsql.Show:
		return s.show(st)
	case ctsql.Discard:
		s.reset()
		return result{tag: "DISCARD ALL"}, nil
	}
	s.hasSnapshot = s.inTransaction
	if ctsql.ChangesRows(statement) {
		return s.write(d, statement, parameters)
	}
	return s.read(d, statement, parameters)
}

// executeInFailedTransaction ends a failed transaction at a commit or rollback and
// rejects all other statements.
func (s *session) executeInFailedTransaction(statement ctsql.Statement) (result, error) {
	switch statement.(type) {
	case ctsql.Commit, ctsql.Rollback:
		s.endTransaction()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{}, &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
}

// applySetting sets a setting. SET LOCAL has no effect outside of a transaction.
func (s *session) applySetting(st ctsql.Set) (result, error) {
	if st.Local && !s.inTransaction {
		return result{tag: "SET"}, nil
	}
	if s.settings == nil {
		s.settings = make(map[string]string)
	}
	s.settings[st.Name] = st.Value
	return result{tag: "SET"}, nil
}

// setTransaction accepts a characteristic of the transaction, which must come before the
// first statement that reads or writes.
func (s *session) setTransaction() (result, error) {
	if s.hasSnapshot {
		return result{}, &sqlError{"25001", "SET TRANSACTION ISOLATION LEVEL must be called before any query"}
	}
	return result{tag: "SET"}, nil
}

// show returns a setting that was set on the session.
func (s *session) show(st ctsql.Show) (result, error) {
	value, ok := s.settings[st.Name]
	if !ok {
		return result{}, &sqlError{"42704", "unrecognized configuration parameter " + strconv.Quote(st.Name)}
	}
	r := singleColumn(st.Name, value)
	r.tag = "SHOW"
	return r, nil
}

// commit ends the transaction and commits its writes. It fails if the member has
// ceased to be the primary.
func (s *session) commit(d *database) (result, error) {
	writes := s.writes
	s.endTransaction()
	if len(writes) > 0 && !d.commit(writes) {
		return result{}, &sqlError{"40001", "the member is not the primary any more"}
	}
	return result{tag: "COMMIT"}, nil
}

// write adds a change to the session's writes. Outside a transaction, autocommit
// commits it.
func (s *session) write(d *database, statement ctsql.Statement, parameters []string) (result, error) {
	entry, verb := newEntry(statement, parameters)
	if !d.acceptsWrites() || !s.mayWrite() {
		return result{}, &sqlError{"25006", "cannot execute " + verb + " in a read-only transaction"}
	}
	if entry.Table == requestsTable && len(rowsWithKey(s.rows(d, entry.Table), entry.Key)) > 0 {
		return result{}, &sqlError{"23505", "duplicate key value violates unique constraint"}
	}
	count := 1
	if entry.Operation != ctwal.OperationInsert {
		count = len(rowsWithKey(s.rows(d, entry.Table), entry.Key))
	}
	tag := fmt.Sprintf("%s %d", verb, count)
	if verb == "INSERT" {
		tag = fmt.Sprintf("INSERT 0 %d", count)
	}
	if count == 0 {
		return result{tag: tag}, nil
	}
	s.writes = append(s.writes, entry)
	return result{tag: tag}, nil
}

// autocommit commits the session's writes if no transaction is open.
func (s *session) autocommit(d *database) error {
	if s.inTransaction || len(s.writes) == 0 {
		return nil
	}
	_, err := s.commit(d)
	return err
}

// newEntry returns the log entry of a change and the verb of its command tag.
func newEntry(statement ctsql.Statement, parameters []string) (ctwal.Entry, string) {
	switch st := statement.(type) {
	case ctsql.Insert:
		return ctwal.Entry{
			Operation: ctwal.OperationInsert, Table: st.Table,
			Key: resolveValue(st.Key, parameters), Value: resolveValue(st.Value, parameters),
		}, "INSERT"
	case ctsql.Update:
		return ctwal.Entry{
			Operation: ctwal.OperationUpdate, Table: st.Table,
			Key: resolveValue(st.Key, parameters), Value: resolveValue(st.Value, parameters),
		}, "UPDATE"
	case ctsql.Delete:
		return ctwal.Entry{
			Operation: ctwal.OperationDelete, Table: st.Table, Key: resolveValue(st.Key, parameters),
		}, "DELETE"
	}
	return ctwal.Entry{}, ""
}

// read runs a statement that returns rows.
func (s *session) read(d *database, statement ctsql.Statement, parameters []string) (result, error) {
	switch st := statement.(type) {
	case ctsql.Select:
		return singleColumn("value", rowValues(rowsWithKey(s.rows(d, st.Table), resolveValue(st.Key, parameters)))...), nil
	case ctsql.SelectAll:
		return s.selectAll(d, st), nil
	case ctsql.Count:
		return singleColumn("count", strconv.Itoa(s.count(d, st, parameters))), nil
	case ctsql.SelectLiteral:
		return singleColumn("?column?", resolveValue(st.Value, parameters)), nil
	case ctsql.Sleep:
		return singleColumn("pg_sleep", ""), nil
	case ctsql.DivideByZero:
		return result{}, &sqlError{"22012", "division by zero"}
	case ctsql.ReadStatus:
		return memberStatus(d), nil
	case ctsql.ReadLog:
		return readLog(d, st)
	}
	return result{}, &sqlError{"0A000", "the statement is not supported"}
}

func (s *session) selectAll(d *database, st ctsql.SelectAll) result {
	r := result{columns: []string{"key", "value"}}
	for _, row := range s.rows(d, st.Table) {
		r.rows = append(r.rows, []string{row.Key, row.Value})
	}
	r.tag = fmt.Sprintf("SELECT %d", len(r.rows))
	return r
}

func (s *session) count(d *database, st ctsql.Count, parameters []string) int {
	rows := s.rows(d, st.Table)
	if !st.HasKey {
		return len(rows)
	}
	return len(rowsWithKey(rows, resolveValue(st.Key, parameters)))
}

// rows returns a table's rows: what the member has applied, with the session's own
// uncommitted writes on top.
func (s *session) rows(d *database, table string) []ctwal.Row {
	rows := d.log.Rows(table)
	for _, w := range s.writes {
		if w.Table == table {
			rows = ctwal.ApplyEntry(rows, w)
		}
	}
	return rows
}

// memberStatus returns the member's state. Positions are in bytes of the log.
func memberStatus(d *database) result {
	return result{
		columns: []string{"role", "term", "received", "applied", "fence", "incarnation"},
		rows: [][]string{{
			string(d.role),
			strconv.FormatUint(d.term, 10),
			strconv.Itoa(d.log.ReceivedCount() * ctwal.EntryBytes),
			strconv.Itoa(d.log.AppliedCount() * ctwal.EntryBytes),
			strconv.FormatUint(d.fence, 10),
			strconv.FormatUint(uint64(d.incarnation), 10),
		}},
		tag: "SELECT 1",
	}
}

// readLog returns log entries to a replica. It fails if the member is not the
// primary of the replica's term, if it is isolated, or if the replica has entries
// that the primary lacks. The result is pending if there are no new entries.
func readLog(d *database, st ctsql.ReadLog) (result, error) {
	if !d.acceptsWrites() || d.term != st.Term || d.faults.Isolated {
		return result{}, &sqlError{"55000", "the member is not the primary of the term"}
	}
	if st.From > uint64(d.log.ReceivedCount()) {
		return result{}, &sqlError{"55000", "the replica holds more than the primary"}
	}
	entries := d.log.EntriesFrom(int(st.From), maxEntriesPerRead)
	if len(entries) == 0 {
		empty := singleColumn("entry")
		empty.pending = true
		return empty, nil
	}
	texts := make([]string, len(entries))
	for i, e := range entries {
		data, err := json.Marshal(e)
		if err != nil {
			return result{}, err
		}
		texts[i] = string(data)
	}
	return singleColumn("entry", texts...), nil
}

// singleColumn returns a result with one column and a row for each text.
func singleColumn(column string, texts ...string) result {
	r := result{columns: []string{column}, tag: fmt.Sprintf("SELECT %d", len(texts))}
	for _, t := range texts {
		r.rows = append(r.rows, []string{t})
	}
	return r
}

func rowValues(rows []ctwal.Row) []string {
	texts := make([]string, len(rows))
	for i, r := range rows {
		texts[i] = r.Value
	}
	return texts
}

// rowsWithKey returns the rows that have the key.
func rowsWithKey(rows []ctwal.Row, key string) []ctwal.Row {
	var found []ctwal.Row
	for _, r := range rows {
		if r.Key == key {
			found = append(found, r)
		}
	}
	return found
}

// resolveValue returns the value's literal, or the parameter that it refers to. A
// missing parameter counts as empty.
func resolveValue(value ctsql.Value, parameters []string) string {
	if value.Parameter == 0 {
		return value.Text
	}
	if value.Parameter > len(parameters) {
		return ""
	}
	return parameters[value.Parameter-1]
}
