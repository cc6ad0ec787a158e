package ctstandin

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
)

// sessionID identifies a connection. The protocol reports it as the process ID.
type sessionID uint32

// session is the state of one connection. Only the worker of its key uses it, except
// for the fields up to answers, which don't change.
type session struct {
	id              sessionID
	secret          uint32
	applicationName string
	// answers passes each request's answer to the connection's goroutine.
	answers chan answer

	request       *request
	cancelled     bool
	prepared      map[string]ctsql.Statement
	portals       map[string]portal
	settings      map[string]string
	inTransaction bool
	// failed reports that a statement of the open transaction failed.
	failed   bool
	readOnly bool
	// hasSnapshot reports whether a statement of the open transaction has read or written.
	hasSnapshot bool
	// writes are the changes that are not committed yet.
	writes     []ctwal.Entry
	terminated bool
}

// answer is the encoded answer to a request.
type answer struct {
	data []byte
	// close closes the connection after the data is sent.
	close bool
}

// firstHalf returns the first half of the answer, after which the connection closes.
func (a answer) firstHalf() answer {
	return answer{data: a.data[:len(a.data)/2], close: true}
}

// portal is a bound statement with its parameters. Its statement is nil for an empty
// query.
type portal struct {
	statement  ctsql.Statement
	parameters []string
}

// request is a simple query, or the messages of the extended protocol up to a Sync.
type request struct {
	query    string
	simple   bool
	messages []pgproto3.FrontendMessage
	// usesSlot reports whether the request runs a statement that is not a system
	// statement.
	usesSlot bool
	// hasWaited reports whether the request has waited for new log entries.
	hasWaited bool
}

// statements returns the statements that the request will run, or nil if its text
// can't be parsed.
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

// executedStatements returns the statements that an extended request will execute.
// It finds them by the names of prepared statements and of portals bound in the same
// request.
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

// isSystemStatement reports whether a statement serves the system's own work, such as
// status, terms, replication or session settings. System statements use no slot.
func isSystemStatement(statement ctsql.Statement) bool {
	switch statement.(type) {
	case ctsql.ReadStatus, ctsql.TryAdvisoryLock, ctsql.CountOtherHolders, ctsql.TerminateOthers,
		ctsql.Fence, ctsql.Promote, ctsql.Follow, ctsql.ReadLog, ctsql.Discard, ctsql.Set, ctsql.Show:
		return true
	}
	return false
}

// sleepDuration returns how long a Sleep statement lasts, and 0 for others.
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

// servesRequests reports whether the connection is a holder's for requests.
func (s *session) servesRequests() bool {
	return strings.HasPrefix(s.applicationName, holderNamePrefix+"/")
}

// cancelledAnswer returns the error answer to a cancelled request.
func (s *session) cancelledAnswer() []byte {
	var w answerWriter
	w.writeError(&sqlError{"57014", "canceling statement due to user request"})
	s.abort()
	w.writeReady(s.transactionStatus())
	return w.answer
}

// transactionStatus returns the status that ReadyForQuery reports: idle, in a
// transaction, or in a failed one.
func (s *session) transactionStatus() byte {
	switch {
	case s.failed:
		return 'E'
	case s.inTransaction:
		return 'T'
	}
	return 'I'
}

// endTransaction clears the state of the transaction and drops its writes.
func (s *session) endTransaction() {
	s.inTransaction, s.failed, s.readOnly, s.hasSnapshot, s.writes = false, false, false, false, nil
}

// reset drops the session's prepared statements, portals and settings.
func (s *session) reset() {
	s.prepared = nil
	s.portals = nil
	s.settings = nil
}

// mayWrite reports whether the session's transaction may write.
func (s *session) mayWrite() bool {
	return !s.readOnly && s.settings["default_transaction_read_only"] != "on"
}
