package ctframe

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// Forward asks a proxy of a member's failure domain to run a query on one of its
// connections to the member. The connection stays with the way while a
// transaction is open.
type Forward struct {
	Member ctid.Member `cbor:"1,keyasint"`
	Query  Query       `cbor:"2,keyasint"`
	// Parameters are the session's values, and Shape is what the query's prepared
	// statement does.
	Parameters map[string]string `cbor:"3,keyasint,omitempty"`
	Shape      *ctquery.Shape    `cbor:"4,keyasint,omitempty"`
	// AcquireTimeout is how long the query may wait for a connection, and Remaining how
	// long its answer may take.
	AcquireTimeout time.Duration `cbor:"5,keyasint,omitempty"`
	AnswerTimeout  time.Duration `cbor:"6,keyasint,omitempty"`
	Priority       int           `cbor:"7,keyasint,omitempty"`
}

// Check reports the first fault of the frame.
func (f *Forward) Check() error {
	if err := f.Member.Check(); err != nil {
		return err
	}
	if f.Query.Statement() == nil {
		return cterror.New(cterror.Invalid, "the statement of a carried query is unknown", "upgrade this process")
	}
	return nil
}

// ForwardReply answers Carry. One of its fields is set; it also comes unasked, with
// Closing, when the proxy is to stop.
type ForwardReply struct {
	Answer *ctquery.Answer `cbor:"1,keyasint,omitempty"`
	// Refused reports that the query was not sent to the member.
	Refused bool `cbor:"2,keyasint,omitempty"`
	// Unanswered reports that it was sent and that its answer is missing, and Expired
	// that its time ran out.
	Unanswered bool `cbor:"3,keyasint,omitempty"`
	TimedOut   bool `cbor:"4,keyasint,omitempty"`
	Stopping   bool `cbor:"5,keyasint,omitempty"`
}

// statementKind numbers the kinds of statements. The numbers are part of the
// protocol and are not used again.
type statementKind uint8

const (
	statementBegin statementKind = iota + 1
	statementBeginReadOnly
	statementCommit
	statementRollback
	statementRead
	statementWrite
	statementExecute
	statementReadStatus
)

// Query is a query on its way between proxies.
type Query struct {
	ID       ctquery.ID       `cbor:"1,keyasint,omitempty"`
	MinPoint ctposition.Point `cbor:"2,keyasint,omitzero"`
	Kind     statementKind    `cbor:"3,keyasint"`
	// Name names a prepared statement, and Text is the rest of the statement.
	Name string `cbor:"4,keyasint,omitempty"`
	Text string `cbor:"5,keyasint,omitempty"`
}

// NewQuery makes the frame's form of a query.
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
		q.Kind, q.Name, q.Text = statementExecute, s.Name, s.Arguments
	case ctquery.ReadStatus:
		q.Kind = statementReadStatus
	}
	return q
}

// Statement returns the statement, or nil where it is unknown.
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
		return ctquery.Execute{Name: q.Name, Arguments: q.Text}
	case statementReadStatus:
		return ctquery.ReadStatus{}
	}
	return nil
}

// Query returns the query.
func (q *Query) Query() ctquery.Query {
	return ctquery.Query{ID: q.ID, MinPoint: q.MinPoint, Statement: q.Statement()}
}

func (*Forward) kind() kind      { return kindForward }
func (*ForwardReply) kind() kind { return kindForwardReply }
