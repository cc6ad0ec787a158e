package ctpg

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// batch collects the messages of one request.
type batch struct {
	payload []byte
	// queryClass is the class of a Query, where the request is one.
	queryClass ctset.Option[ctstatement.Class]
	key        ctid.IdempotencyKey
	invalidKey bool
	// parsed holds the statements that the request itself prepares.
	parsed map[string]preparedStatement
	// required lists the statements that it uses before it prepares them.
	required ctset.Set[string]
	// portals names the statement of each portal that it binds.
	portals map[string]string
	// executed lists the statements of the portals that it executes.
	executed []string
	// unknownPortal reports that it executes a portal of an earlier request.
	unknownPortal bool
	// closed lists the statements that it closes.
	closed []string
}

// preparedStatement is a statement that a caller prepared.
type preparedStatement struct {
	class ctstatement.Class
	// parseMessage is the Parse message that prepares it.
	parseMessage []byte
}

func (b *batch) addMessage(message pgproto3.FrontendMessage) error {
	payload, err := message.Encode(b.payload)
	if err != nil {
		return errors.Wrap(err, "encode a message of the request")
	}
	b.payload = payload
	if len(b.payload) > MaxRequestBytes {
		return tooLarge()
	}
	return nil
}

func (b *batch) addQuery(m *pgproto3.Query) error {
	b.queryClass = ctset.Some(ctstatement.Classify(m.String))
	key, rest, found := ctstatement.CutKey(m.String)
	if !found {
		return b.addMessage(m)
	}
	b.key = ctid.IdempotencyKey(key)
	b.invalidKey = b.key.Check() != nil || ctstatement.HasMultiple(rest)
	return b.addMessage(&pgproto3.Query{String: rest})
}

func (b *batch) addParse(m *pgproto3.Parse) error {
	message, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode a statement")
	}
	if b.parsed == nil {
		b.parsed = make(map[string]preparedStatement)
	}
	if _, _, found := ctstatement.CutKey(m.Query); found {
		b.invalidKey = true
	}
	b.parsed[m.Name] = preparedStatement{class: ctstatement.Classify(m.Query), parseMessage: message}
	return b.addMessage(m)
}

func (b *batch) addBind(m *pgproto3.Bind) error {
	if b.portals == nil {
		b.portals = make(map[string]string)
	}
	b.portals[m.DestinationPortal] = m.PreparedStatement
	b.require(m.PreparedStatement)
	return b.addMessage(m)
}

func (b *batch) addDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		b.require(m.Name)
	}
	return b.addMessage(m)
}

func (b *batch) addExecute(m *pgproto3.Execute) error {
	statement, ok := b.portals[m.Portal]
	if ok {
		b.executed = append(b.executed, statement)
	} else {
		b.unknownPortal = true
	}
	return b.addMessage(m)
}

func (b *batch) addClose(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		b.closed = append(b.closed, m.Name)
	}
	return b.addMessage(m)
}

// require notes a statement that must exist already.
func (b *batch) require(name string) {
	if _, ok := b.parsed[name]; !ok {
		b.required.Add(name)
	}
}
