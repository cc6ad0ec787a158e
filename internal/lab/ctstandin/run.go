package ctstandin

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
)

// run runs a request over the locked database and returns its answer. It
// reports false where the answer must wait.
func (s *session) run(server *Server, d *database, r *request) ([]byte, bool) {
	var w writer
	var err error
	if r.simple {
		var wait bool
		wait, err = s.runSimple(server, d, r.text, &w)
		if wait {
			return nil, false
		}
	} else {
		err = s.runExtended(server, d, r.messages, &w)
	}
	if err == nil {
		err = s.finish(d)
	}
	if err != nil {
		w.fail(err)
		s.abort()
	}
	w.ready(s.status())
	return w.data, true
}

// abort ends what an error ends: the open transaction fails, and statements
// outside of one leave nothing.
func (s *session) abort() {
	if s.open {
		s.failed = true
	}
	s.writes = nil
}

func (s *session) runSimple(server *Server, d *database, text string, w *writer) (bool, error) {
	statements, err := ctsql.Parse(text)
	if err != nil {
		return false, err
	}
	if len(statements) == 0 {
		w.send(&pgproto3.EmptyQueryResponse{})
		return false, nil
	}
	for i, st := range statements {
		if _, ok := st.(ctsql.Copy); ok {
			w.send(&pgproto3.CopyInResponse{})
			return false, nil
		}
		r, err := s.dispatch(server, d, st, nil)
		if err != nil {
			return false, err
		}
		if r.wait && !s.request.waited {
			s.request.waited = true
			return true, nil
		}
		if len(r.columns) > 0 {
			w.describe(r.columns)
		}
		if i == len(statements)-1 {
			if err := s.finishBefore(d, st); err != nil {
				return false, err
			}
		}
		w.rows(r)
	}
	return false, nil
}

// finishBefore commits a statement outside a transaction before its completion
// is told.
func (s *session) finishBefore(d *database, statement ctsql.Statement) error {
	if !ctsql.ChangesRows(statement) {
		return nil
	}
	return s.finish(d)
}

func (s *session) runExtended(server *Server, d *database, messages []pgproto3.FrontendMessage, w *writer) error {
	for _, message := range messages {
		if err := s.step(server, d, message, w); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) step(server *Server, d *database, message pgproto3.FrontendMessage, w *writer) error {
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
			w.send(&pgproto3.EmptyQueryResponse{})
			return nil
		}
		r, err := s.dispatch(server, d, p.statement, p.parameters)
		if err != nil {
			return err
		}
		if err := s.finishBefore(d, p.statement); err != nil {
			return err
		}
		w.rows(r)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		w.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (s *session) parse(m *pgproto3.Parse, w *writer) error {
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
	w.send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind, w *writer) error {
	statement, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return &failure{"26000", "prepared statement " + strconv.Quote(m.PreparedStatement) + " does not exist"}
	}
	p := portal{statement: statement}
	for _, v := range m.Parameters {
		p.parameters = append(p.parameters, string(v))
	}
	if s.portals == nil {
		s.portals = make(map[string]portal)
	}
	s.portals[m.DestinationPortal] = p
	w.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe, w *writer) error {
	if m.ObjectType == 'P' {
		w.describe(columnsOf(s.portals[m.Name].statement))
		return nil
	}
	statement, ok := s.prepared[m.Name]
	if !ok {
		return &failure{"26000", "prepared statement " + strconv.Quote(m.Name) + " does not exist"}
	}
	types := make([]uint32, ctsql.ParameterCount(statement))
	for i := range types {
		types[i] = textOID
	}
	w.send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	w.describe(columnsOf(statement))
	return nil
}

// dispatch runs a statement of a caller, or one of the system's own that
// concerns the whole member.
func (s *session) dispatch(
	server *Server, d *database, statement ctsql.Statement, parameters []string,
) (result, error) {
	switch st := statement.(type) {
	case ctsql.TryAdvisoryLock:
		return values("lock", s.lock(d)), nil
	case ctsql.CountOtherHolders:
		return values("count", strconv.Itoa(len(d.others(st.Except)))), nil
	case ctsql.TerminateOthers:
		return values("count", strconv.Itoa(d.evict(s.id))), nil
	case ctsql.Fence:
		d.fenceAt(st.Term)
		return values("fence", "t"), nil
	case ctsql.Promote:
		return ordered(d.promote(st.Term))
	case ctsql.Follow:
		if !d.follow(st.Term, int(st.Start/ctwal.EntryBytes)) {
			return ordered(false)
		}
		server.followLater(st)
		return ordered(true)
	}
	return s.execute(d, statement, parameters)
}

func ordered(done bool) (result, error) {
	if !done {
		return result{}, &failure{"55000", "the member is in a later term"}
	}
	return values("done", "t"), nil
}

// lock takes the holder's lock where it is free.
func (s *session) lock(d *database) string {
	if d.lockHolder != 0 && d.lockHolder != s.id {
		return "f"
	}
	d.lockHolder = s.id
	return "t"
}
