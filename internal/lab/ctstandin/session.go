package ctstandin

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
)

// sessionID numbers the connections of a stand-in.
type sessionID uint32

// session is the state of one connection. It belongs to the worker of its key,
// but for the fields that do not change.
type session struct {
	id              sessionID
	secret          uint32
	applicationName string
	// answers takes the bytes of each request's answer.
	answers chan answer

	request       *request
	cancelled     bool
	prepared      map[string]ctsql.Statement
	portals       map[string]portal
	settings      map[string]string
	inTransaction bool
	failed        bool
	readOnly      bool
	writes        []ctwal.Entry
	terminated    bool
}

// answer is what a connection sends for a request.
type answer struct {
	data []byte
	// close ends the connection after the data.
	close bool
}

// firstHalf returns an answer that breaks off in its middle.
func (a answer) firstHalf() answer {
	return answer{data: a.data[:len(a.data)/2], close: true}
}

// portal is a statement with its parameters.
type portal struct {
	statement  ctsql.Statement
	parameters []string
}

// request is one request: a Query's text, or messages up to a Sync.
type request struct {
	query    string
	simple   bool
	messages []pgproto3.FrontendMessage
	// usesSlot reports whether the request takes a slot.
	usesSlot bool
	// hasWaited reports whether the request has waited for more of the log.
	hasWaited bool
}

// statements returns the statements that the request runs.
func (r *request) statements(s *session) []ctsql.Statement {
	if r.simple {
		statements, err := ctsql.Parse(r.query)
		if err != nil {
			return nil
		}
		return statements
	}
	return r.executedStatements(s)
}

// executedStatements returns the statements that an extended request executes.
func (r *request) executedStatements(s *session) []ctsql.Statement {
	parsed := make(map[string]ctsql.Statement)
	portals := make(map[string]ctsql.Statement)
	var executed []ctsql.Statement
	for _, message := range r.messages {
		switch m := message.(type) {
		case *pgproto3.Parse:
			if statements, err := ctsql.Parse(m.Query); err == nil && len(statements) > 0 {
				parsed[m.Name] = statements[0]
			}
		case *pgproto3.Bind:
			statement, ok := parsed[m.PreparedStatement]
			if !ok {
				statement = s.prepared[m.PreparedStatement]
			}
			portals[m.DestinationPortal] = statement
		case *pgproto3.Execute:
			if statement := portals[m.Portal]; statement != nil {
				executed = append(executed, statement)
			}
		}
	}
	return executed
}

// isSystemStatement reports whether a statement is one of the system's own, which takes no
// slot.
func isSystemStatement(statement ctsql.Statement) bool {
	switch statement.(type) {
	case ctsql.ReadStatus, ctsql.TryAdvisoryLock, ctsql.CountOtherHolders, ctsql.TerminateOthers,
		ctsql.Fence, ctsql.Promote, ctsql.Follow, ctsql.ReadLog, ctsql.Discard, ctsql.Set:
		return true
	}
	return false
}

// sleepDuration returns how long a statement sleeps.
func sleepDuration(statement ctsql.Statement) time.Duration {
	sleep, ok := statement.(ctsql.Sleep)
	if !ok {
		return 0
	}
	seconds, err := strconv.ParseFloat(sleep.Seconds.Text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// cancelledAnswer returns the answer to a request that was cancelled.
func (s *session) cancelledAnswer() []byte {
	var w answerWriter
	w.writeError(&sqlError{"57014", "canceling statement due to user request"})
	s.abort()
	w.writeReady(s.transactionStatus())
	return w.answer
}

// transactionStatus returns the transaction status that ReadyForQuery tells.
func (s *session) transactionStatus() byte {
	switch {
	case s.failed:
		return 'E'
	case s.inTransaction:
		return 'T'
	}
	return 'I'
}

// endTransaction leaves the transaction.
func (s *session) endTransaction() {
	s.inTransaction, s.failed, s.readOnly, s.writes = false, false, false, nil
}

// reset returns the session to its first state.
func (s *session) reset() {
	s.prepared = nil
	s.portals = nil
	s.settings = nil
}

// mayWrite reports whether the session's transaction may write.
func (s *session) mayWrite() bool {
	return !s.readOnly && s.settings["default_transaction_read_only"] != "on"
}
