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
	// simple is the class of a Query, where the request is one.
	simple ctset.Option[ctstatement.Class]
	key    ctid.IdempotencyKey
	badKey bool
	// parsed holds the statements that the request itself prepares.
	parsed map[string]prepared
	// used lists the statements that it uses before it prepares them.
	used ctset.Set[string]
	// portals names the statement of each portal that it binds.
	portals map[string]string
	// executed lists the statements of the portals that it executes.
	executed []string
	// strange reports that it executes a portal of an earlier request.
	strange bool
	// closed lists the statements that it closes.
	closed []string
}

// prepared is a statement that a caller prepared.
type prepared struct {
	class ctstatement.Class
	// message is the Parse message that prepares it.
	message []byte
}

func (b *batch) add(message pgproto3.FrontendMessage) error {
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

func (b *batch) query(m *pgproto3.Query) error {
	b.simple = ctset.Some(ctstatement.Classify(m.String))
	key, rest, found := ctstatement.CutKey(m.String)
	if !found {
		return b.add(m)
	}
	b.key = ctid.IdempotencyKey(key)
	b.badKey = b.key.Check() != nil || ctstatement.HasMultiple(rest)
	return b.add(&pgproto3.Query{String: rest})
}

func (b *batch) parse(m *pgproto3.Parse) error {
	message, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode a statement")
	}
	if b.parsed == nil {
		b.parsed = make(map[string]prepared)
	}
	if _, _, found := ctstatement.CutKey(m.Query); found {
		b.badKey = true
	}
	b.parsed[m.Name] = prepared{class: ctstatement.Classify(m.Query), message: message}
	return b.add(m)
}

func (b *batch) bind(m *pgproto3.Bind) error {
	if b.portals == nil {
		b.portals = make(map[string]string)
	}
	b.portals[m.DestinationPortal] = m.PreparedStatement
	b.use(m.PreparedStatement)
	return b.add(m)
}

func (b *batch) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		b.use(m.Name)
	}
	return b.add(m)
}

func (b *batch) execute(m *pgproto3.Execute) error {
	statement, ok := b.portals[m.Portal]
	if ok {
		b.executed = append(b.executed, statement)
	} else {
		b.strange = true
	}
	return b.add(m)
}

func (b *batch) close(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		b.closed = append(b.closed, m.Name)
	}
	return b.add(m)
}

// use notes a statement that must exist already.
func (b *batch) use(name string) {
	if _, ok := b.parsed[name]; !ok {
		b.used.Add(name)
	}
}
