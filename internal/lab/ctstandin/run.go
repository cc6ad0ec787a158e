package ctstandin

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
)

// run runs a request and returns its answer. The caller has locked the database. It
// reports false if the request must wait for new log entries and run again.
func (s *session) run(server *Server, d *database, r *request) ([]byte, bool) {
	var w answerWriter
	var err error
	if r.simple {
		var pending bool
		pending, err = s.runSimple(server, d, r.query, &w)
		if pending {
			return nil, false
		}
	} else {
		err = s.runExtended(server, d, r.messages, &w)
	}
	if err == nil {
		err = s.autocommit(d)
	}
	if err != nil {
		w.writeError(err)
		s.abort()
	}
	w.writeReady(s.transactionStatus())
	return w.answer, true
}

// abort handles an error: an open transaction fails, and uncommitted writes are
// dropped.
func (s *session) abort() {
	if s.inTransaction {
		s.failed = true
	}
	s.writes = nil
}

// runSimple runs the statements of a simple query, which destroys the unnamed prepared
// statement and the unnamed portal. It reports true if the query must wait for new log
// entries; a query waits only once.
func (s *session) runSimple(server *Server, d *database, text string, w *answerWriter) (bool, error) {
	delete(s.prepared, "")
	delete(s.portals, "")
	statements, err := ctsql.Parse(text)
	if err != nil {
		return false, err
	}
	if len(statements) == 0 {
		w.write(&pgproto3.EmptyQueryResponse{})
		return false, nil
	}
	for i, st := range statements {
		if _, ok := st.(ctsql.Copy); ok {
			w.write(&pgproto3.CopyInResponse{})
			return false, nil
		}
		r, err := s.dispatch(server, d, st, nil)
		if err != nil {
			return false, err
		}
		if r.pending && !s.request.hasWaited {
			s.request.hasWaited = true
			return true, nil
		}
		if len(r.columns) > 0 {
			w.writeRowDescription(r.columns)
		}
		if i == len(statements)-1 {
			if err := s.autocommitChange(d, st); err != nil {
				return false, err
			}
		}
		w.writeResult(r)
	}
	return false, nil
}

// autocommitChange commits a change outside a transaction before its CommandComplete
// is written: a failed commit must yield an error in its place.
func (s *session) autocommitChange(d *database, statement ctsql.Statement) error {
	if !ctsql.ChangesRows(statement) {
		return nil
	}
	return s.autocommit(d)
}

// runExtended handles the messages of an extended request up to the first error.
func (s *session) runExtended(server *Server, d *database, messages []pgproto3.FrontendMessage, w *answerWriter) error {
	for _, message := range messages {
		if err := s.handleMessage(server, d, message, w); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) handleMessage(server *Server, d *database, message pgproto3.FrontendMessage, w *answerWriter) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m, w)
	case *pgproto3.Bind:
		return s.bind(m, w)
	case *pgproto3.Describe:
		return s.describe(m, w)
	case *pgproto3.Execute:
		p := s.portals[m.Portal]
		if p.statement == nil {
			w.write(&pgproto3.EmptyQueryResponse{})
			return nil
		}
		r, err := s.dispatch(server, d, p.statement, p.parameters)
		if err != nil {
			return err
		}
		if err := s.autocommitChange(d, p.statement); err != nil {
			return err
		}
		w.writeResult(r)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		w.write(&pgproto3.CloseComplete{})
	}
	return nil
}

func (s *session) parse(m *pgproto3.Parse, w *answerWriter) error {
	statements, err := ctsql.Parse(m.Query)
	if err != nil {
		return err
	}
	var statement ctsql.Statement
	if len(statements) > 0 {
		statement = statements[0]
	}
	if s.prepared == nil {
		s.prepared = make(map[string]ctsql.Statement)
	}
	s.prepared[m.Name] = statement
	w.write(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind, w *answerWriter) error {
	statement, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return &sqlError{"26000", "prepared statement " + strconv.Quote(m.PreparedStatement) + " does not exist"}
	}
	p := portal{statement: statement}
	for _, v := range m.Parameters {
		p.parameters = append(p.parameters, string(v))
	}
	if s.portals == nil {
		s.portals = make(map[string]portal)
	}
	s.portals[m.DestinationPortal] = p
	w.write(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe, w *answerWriter) error {
	if m.ObjectType == 'P' {
		w.writeRowDescription(resultColumns(s.portals[m.Name].statement))
		return nil
	}
	statement, ok := s.prepared[m.Name]
	if !ok {
		return &sqlError{"26000", "prepared statement " + strconv.Quote(m.Name) + " does not exist"}
	}
	types := make([]uint32, ctsql.ParameterCount(statement))
	for i := range types {
		types[i] = textOID
	}
	w.write(&pgproto3.ParameterDescription{ParameterOIDs: types})
	w.writeRowDescription(resultColumns(statement))
	return nil
}

// dispatch runs the system statements that concern the whole member and passes all
// other statements to execute.
func (s *session) dispatch(
	server *Server, d *database, statement ctsql.Statement, parameters []string,
) (result, error) {
	switch st := statement.(type) {
	case ctsql.TryAdvisoryLock:
		return singleColumn("lock", s.tryHolderLock(d)), nil
	case ctsql.CountOtherHolders:
		return singleColumn("count", strconv.Itoa(len(d.otherHolders(st.Except)))), nil
	case ctsql.TerminateOthers:
		return singleColumn("count", strconv.Itoa(d.closeHolderConnections(s.id))), nil
	case ctsql.Fence:
		d.raiseFence(st.Term)
		return singleColumn("fence", "t"), nil
	case ctsql.Promote:
		return termChangeResult(d.promote(st.Term))
	case ctsql.Follow:
		if !d.becomeReplica(st.Term, int(st.TermStart/ctwal.EntryBytes)) {
			return termChangeResult(false)
		}
		server.requestFollow(st)
		return termChangeResult(true)
	}
	return s.execute(d, statement, parameters)
}

// termChangeResult returns the result of a promotion or a change to replica.
func termChangeResult(done bool) (result, error) {
	if !done {
		return result{}, &sqlError{"55000", "the member is in a later term"}
	}
	return singleColumn("done", "t"), nil
}

// tryHolderLock acquires the advisory lock of holders if it is free. It returns "t"
// if the session owns the lock now, else "f".
func (s *session) tryHolderLock(d *database) string {
	if d.lockHolder != 0 && d.lockHolder != s.id {
		return "f"
	}
	d.lockHolder = s.id
	return "t"
}
