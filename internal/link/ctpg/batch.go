package ctpg

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// batch collects the messages of one request, up to the Query or Sync that ends it.
type batch struct {
	// payload contains the encoded messages.
	payload []byte
	// queryClass is the class of the text of a Query. It is unset for a request of
	// the extended protocol.
	queryClass ctset.Option[ctstatement.Class]
	// key is the idempotency key. It is empty if the request has none.
	key ctid.IdempotencyKey
	// invalidKey reports that the request has an idempotency key that can't be honoured.
	invalidKey bool
	// parsed holds the classes of the statements that the request prepares, by name.
	parsed map[string]ctstatement.Class
	// required contains the names of the statements that must exist before the request.
	required ctset.Set[string]
	// portals maps each portal that the request binds to its statement.
	portals map[string]boundStatement
	// executed lists the statements whose portals the request executes.
	executed []boundStatement
	// unknownPortal reports that the request executes a portal that it didn't bind.
	unknownPortal bool
	// changes lists the preparations and closings of the request, in order.
	changes []statementChange
}

// boundStatement is the statement of a portal.
type boundStatement struct {
	name string
	// class is set if the request itself prepares the statement.
	class ctset.Option[ctstatement.Class]
}

// preparedStatement is a statement that a caller prepared with a Parse message.
type preparedStatement struct {
	class ctstatement.Class
	// parseMessage is the encoded Parse message.
	parseMessage []byte
}

// addMessage appends a message to the payload. It fails if the payload then exceeds
// MaxRequestBytes.
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

// query adds a Query without the comment that contains an idempotency key. A key
// in front of several statements is invalid.
func (b *batch) query(m *pgproto3.Query) error {
	b.queryClass = ctset.Some(ctstatement.Classify(m.String))
	key, rest, found := ctstatement.CutKey(m.String)
	if !found {
		return b.addMessage(m)
	}
	b.key = ctid.IdempotencyKey(key)
	b.invalidKey = b.key.Check() != nil || ctstatement.HasMultiple(rest)
	return b.addMessage(&pgproto3.Query{String: rest})
}

// parse adds a Parse. An idempotency key in its text is invalid: only a Query
// may have one.
func (b *batch) parse(m *pgproto3.Parse) error {
	message, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode a statement")
	}
	if b.parsed == nil {
		b.parsed = make(map[string]ctstatement.Class)
	}
	if _, _, found := ctstatement.CutKey(m.Query); found {
		b.invalidKey = true
	}
	statement := preparedStatement{class: ctstatement.Classify(m.Query), parseMessage: message}
	b.parsed[m.Name] = statement.class
	b.changes = append(b.changes, preparation{name: m.Name, statement: statement})
	return b.addMessage(m)
}

// bind adds a Bind and records which statement its portal belongs to.
func (b *batch) bind(m *pgproto3.Bind) error {
	if b.portals == nil {
		b.portals = make(map[string]boundStatement)
	}
	bound := boundStatement{name: m.PreparedStatement}
	if class, ok := b.parsed[m.PreparedStatement]; ok {
		bound.class = ctset.Some(class)
	}
	b.portals[m.DestinationPortal] = bound
	b.require(m.PreparedStatement)
	return b.addMessage(m)
}

// describe adds a Describe of a statement or a portal.
func (b *batch) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		b.require(m.Name)
	}
	return b.addMessage(m)
}

// execute adds an Execute and records the statement of its portal.
func (b *batch) execute(m *pgproto3.Execute) error {
	statement, ok := b.portals[m.Portal]
	if ok {
		b.executed = append(b.executed, statement)
	} else {
		b.unknownPortal = true
	}
	return b.addMessage(m)
}

// close adds a Close of a statement or a portal.
func (b *batch) close(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		b.changes = append(b.changes, statementClosing{name: m.Name})
	} else {
		b.changes = append(b.changes, portalClosing{})
	}
	return b.addMessage(m)
}

// require records that the request uses a statement. A statement that the request
// hasn't prepared itself must exist before.
func (b *batch) require(name string) {
	if _, ok := b.parsed[name]; !ok {
		b.required.Add(name)
	}
}
