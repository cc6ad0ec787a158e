package ctframe

import (
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// Forward requests that a proxy in the member's failure domain runs a query on one of
// its connections to the member. While a transaction is open, that connection is
// reserved for the stream.
type Forward struct {
	Member ctid.Member `cbor:"1,keyasint"`
	Query  Query       `cbor:"2,keyasint"`
	// Parameters are the session's run-time parameters. Shape is the body of the
	// prepared statement that the query executes, or nil.
	Parameters map[ctquery.Word]ctquery.Text `cbor:"3,keyasint,omitempty"`
	Shape      *ctquery.Shape                `cbor:"4,keyasint,omitempty"`
	// AcquireTimeout limits the wait for a connection. AnswerTimeout limits the time
	// until the member's answer, which includes that wait.
	AcquireTimeout time.Duration `cbor:"5,keyasint,omitempty"`
	AnswerTimeout  time.Duration `cbor:"6,keyasint,omitempty"`
	// Priority orders the queries that wait for a connection. 0 is the most urgent.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Number is that of the request on its stream, from 1.
	Number RequestNumber `cbor:"8,keyasint,omitempty"`
	// Workspace is the one whose caller sent the query; empty for a caller without one.
	// WorkspacePriority is its priority, which orders queries of the same Priority.
	Workspace         ctid.Workspace `cbor:"9,keyasint,omitempty"`
	WorkspacePriority int            `cbor:"10,keyasint,omitempty"`
	// Operation reports whether the query starts an operation, which counts toward the limit
	// of its workspace.
	Operation bool `cbor:"11,keyasint,omitempty"`
}

// RequestNumber numbers the requests on a stream.
type RequestNumber uint64

// Check returns an error of kind cterror.Invalid if the member's name is invalid, the
// statement is of an unknown kind, a text can't go on a line, or the shape is not the one that
// the query executes.
func (f *Forward) Check() error {
	if err := f.Member.Check(); err != nil {
		return err
	}
	if f.Workspace != "" {
		if err := f.Workspace.Check(); err != nil {
			return err
		}
	}
	if f.Query.Statement() == nil {
		return cterror.New(cterror.Invalid, "the statement of a carried query is unknown", "upgrade this process")
	}
	if err := f.Query.check(f.Shape); err != nil {
		return err
	}
	for name, value := range f.Parameters {
		if err := (ctquery.Query{Statement: ctquery.Set{Name: name, Value: value}}).Check(); err != nil {
			return err
		}
	}
	return nil
}

// ForwardReply answers Forward. A proxy that is about to stop also sends one with
// Stopping, without a request. Either Answer, Refused, Unanswered or Stopping is set.
type ForwardReply struct {
	// Answer is the member's answer to the query, or nil. The key 1 had another encoding of
	// it and is not used again.
	Answer *QueryAnswer `cbor:"6,keyasint,omitempty"`
	// Refused reports that the query was not sent to the member. RateLimited is set with it if
	// the limit of the workspace is reached.
	Refused     bool `cbor:"2,keyasint,omitempty"`
	RateLimited bool `cbor:"8,keyasint,omitempty"`
	// RetryAfter is set with Refused if the proxy knows how long a query would wait. No other
	// attempt is worthwhile before.
	RetryAfter time.Duration `cbor:"10,keyasint,omitempty"`
	// NoConnection is set with Refused if the proxy has no connection to the member and can
	// open none now. Another owner may have one.
	NoConnection bool `cbor:"11,keyasint,omitempty"`
	// Unanswered reports that the query was sent to the member but no answer arrived.
	// TimedOut is set with it if the answer did not arrive in time.
	Unanswered bool `cbor:"3,keyasint,omitempty"`
	TimedOut   bool `cbor:"4,keyasint,omitempty"`
	// Stopping reports that the proxy is about to stop. It still runs the queries that it
	// has already received.
	Stopping bool `cbor:"5,keyasint,omitempty"`
	// Load is by how much the proxy expects the member's response time to be above the lowest;
	// 0 if it doesn't say.
	Load time.Duration `cbor:"9,keyasint,omitempty"`
	// Number is that of the request; 0 if Stopping is set without one. A reply of an older
	// process has none, so that it is rejected.
	Number RequestNumber `cbor:"7,keyasint,omitempty"`
}

// statementKind is the kind of a statement on the wire. The numbers are part of the
// protocol and are never reused: 5 to 7 had texts that had to be UTF-8.
type statementKind uint8

const (
	statementBegin statementKind = iota + 1
	statementBeginReadOnly
	statementCommit
	statementRollback
	_
	_
	_
	statementReadStatus
	statementRead
	statementWrite
	statementExecute
)

// Query is the encoding of a ctquery.Query between proxies.
type Query struct {
	ID       ctquery.ID       `cbor:"1,keyasint,omitempty"`
	MinPoint ctposition.Point `cbor:"2,keyasint,omitzero"`
	Kind     statementKind    `cbor:"3,keyasint"`
	// Name is the name of the prepared statement that an Execute runs. Text is the item
	// of a Read, or the arguments of a Write or Execute.
	Name ctquery.Text `cbor:"4,keyasint,omitempty"`
	Text ctquery.Text `cbor:"5,keyasint,omitempty"`
}

// NewQuery converts a query to its encoding. Kind stays 0 for a statement that can't be
// forwarded, and the receiver rejects it.
func NewQuery(query ctquery.Query) Query {
	q := Query{ID: query.ID, MinPoint: query.MinPoint}
	switch s := query.Statement.(type) {
	case ctquery.Begin:
		q.Kind = statementBegin
		if s.ReadOnly {
			q.Kind = statementBeginReadOnly
		}
	case ctquery.Commit:
		q.Kind = statementCommit
	case ctquery.Rollback:
		q.Kind = statementRollback
	case ctquery.Read:
		q.Kind, q.Text = statementRead, s.Item
	case ctquery.Write:
		q.Kind, q.Text = statementWrite, s.Arguments
	case ctquery.Execute:
		q.Kind, q.Name, q.Text = statementExecute, ctquery.Text(s.Name), s.Arguments
	case ctquery.ReadStatus:
		q.Kind = statementReadStatus
	}
	return q
}

// Statement returns the statement, or nil if its kind is unknown.
func (q *Query) Statement() ctquery.Statement {
	switch q.Kind {
	case statementBegin:
		return ctquery.Begin{}
	case statementBeginReadOnly:
		return ctquery.Begin{ReadOnly: true}
	case statementCommit:
		return ctquery.Commit{}
	case statementRollback:
		return ctquery.Rollback{}
	case statementRead:
		return ctquery.Read{Item: q.Text}
	case statementWrite:
		return ctquery.Write{Arguments: q.Text}
	case statementExecute:
		return ctquery.Execute{Name: ctquery.Word(q.Name), Arguments: q.Text}
	case statementReadStatus:
		return ctquery.ReadStatus{}
	}
	return nil
}

// check returns an error of kind cterror.Invalid unless the fields can go on a line, and shape
// is the one that the statement executes, if it is an Execute.
func (q *Query) check(shape *ctquery.Shape) error {
	if err := q.Query().Check(); err != nil {
		return err
	}
	hasText := q.Kind == statementRead || q.Kind == statementWrite || q.Kind == statementExecute
	if hasText && q.Text == "" {
		return cterror.New(cterror.Invalid, "a carried query has no text", "check that both processes have one version")
	}
	if shape == nil && q.Kind != statementExecute {
		return nil
	}
	if shape == nil || q.Name != ctquery.Text(shape.SharedName()) {
		return cterror.New(cterror.Invalid, "a carried query executes another shape than it brings",
			"check that both processes have one version")
	}
	return shape.Text.Check()
}

// Query converts the encoding back to a query. Its statement is nil if the kind is
// unknown.
func (q *Query) Query() ctquery.Query {
	return ctquery.Query{ID: q.ID, MinPoint: q.MinPoint, Statement: q.Statement()}
}

// QueryAnswer is the encoding of a ctquery.Answer between proxies.
type QueryAnswer struct {
	Rows        []ctquery.Text      `cbor:"1,keyasint,omitempty"`
	Proof       ctquery.Text        `cbor:"2,keyasint,omitempty"`
	Fault       ctquery.Fault       `cbor:"3,keyasint,omitempty"`
	Text        ctquery.Text        `cbor:"4,keyasint,omitempty"`
	Transaction ctquery.Transaction `cbor:"5,keyasint,omitempty"`
	Point       ctposition.Point    `cbor:"6,keyasint,omitzero"`
}

// NewQueryAnswer converts an answer to its encoding.
func NewQueryAnswer(answer ctquery.Answer) *QueryAnswer {
	a := &QueryAnswer{
		Proof: ctquery.Text(answer.Proof), Fault: answer.Fault,
		Text:        ctquery.Text(strings.ReplaceAll(answer.Text, "\n", " ")),
		Transaction: answer.Transaction, Point: answer.Point,
	}
	for _, row := range answer.Rows {
		a.Rows = append(a.Rows, ctquery.Text(row))
	}
	return a
}

// Answer converts the encoding back to an answer.
func (a *QueryAnswer) Answer() ctquery.Answer {
	answer := ctquery.Answer{
		Proof: string(a.Proof), Fault: a.Fault, Text: string(a.Text), Transaction: a.Transaction, Point: a.Point,
	}
	for _, row := range a.Rows {
		answer.Rows = append(answer.Rows, string(row))
	}
	return answer
}

func (*Forward) kind() kind      { return kindForward }
func (*ForwardReply) kind() kind { return kindForwardReply }
