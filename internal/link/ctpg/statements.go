package ctpg

import (
	"encoding/binary"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// statements holds the prepared statements of a session. They remain usable for the
// caller when another backend connection serves the session.
type statements struct {
	// byName contains the statements whose preparation a backend server has confirmed.
	byName map[string]preparedStatement
	// bytes is the size of the statements in byName.
	bytes int
	// onBackend contains the names of the statements that are prepared on the current
	// backend connection.
	onBackend ctset.Set[string]
	// unconfirmed are the changes of the current request that its answer has yet to
	// confirm, in order.
	unconfirmed []statementChange
}

// statementChange is a message of a request that a backend server confirms with
// ParseComplete or CloseComplete.
type statementChange interface {
	isStatementChange()
}

// preparation is a Parse.
type preparation struct {
	name      string
	statement preparedStatement
	// added reports that NextRequest added the Parse, so that its confirmation must not
	// reach the caller.
	added bool
}

// statementClosing is a Close of a statement.
type statementClosing struct {
	name string
}

// portalClosing is a Close of a portal, which changes no statement.
type portalClosing struct{}

func (preparation) isStatementChange()      {}
func (statementClosing) isStatementChange() {}
func (portalClosing) isStatementChange()    {}

// complete returns the request of a batch. In front of the batch's messages, it adds
// a Parse message for each statement that the request uses and that is not prepared
// on the current backend connection.
func (s *statements) complete(b *batch) *Request {
	var payload []byte
	var changes []statementChange
	for _, name := range b.required.Sorted() {
		statement, ok := s.byName[name]
		if !ok || s.onBackend.Has(name) {
			continue
		}
		payload = append(payload, statement.parseMessage...)
		changes = append(changes, preparation{name: name, statement: statement, added: true})
	}
	return &Request{
		Class:      s.class(b),
		Key:        b.key,
		InvalidKey: b.invalidKey,
		Payload:    append(payload, b.payload...),
		changes:    append(changes, b.changes...),
	}
}

// class returns the class of the batch's request. A portal that the batch doesn't
// bind makes it a Write, because the portal's statement isn't known. So do several
// statements, unless all are of the class Select.
func (s *statements) class(b *batch) ctstatement.Class {
	if class, ok := b.queryClass.Get(); ok {
		return class
	}
	if b.unknownPortal {
		return ctstatement.Write
	}
	if len(b.executed) == 0 {
		return ctstatement.Empty
	}
	class := s.classOf(b.executed[0])
	for _, bound := range b.executed[1:] {
		if class != ctstatement.Select || s.classOf(bound) != ctstatement.Select {
			return ctstatement.Write
		}
	}
	return class
}

// classOf returns the class of a bound statement.
func (s *statements) classOf(bound boundStatement) ctstatement.Class {
	if class, ok := bound.class.Get(); ok {
		return class
	}
	return s.byName[bound.name].class
}

// recordAnswer applies the changes that a part of the answer confirms, and returns the part
// without the answers to the Parse messages that NextRequest added. The parts must be given
// in order and consist of whole messages.
func (s *statements) recordAnswer(payload []byte) []byte {
	var kept []byte
	offset := 0
	for len(s.unconfirmed) > 0 && len(payload)-offset >= headerBytes {
		end := min(len(payload), offset+int(binary.BigEndian.Uint32(payload[offset+1:]))+1)
		if s.confirm(payload[offset]) {
			kept = append(kept, payload[offset:end]...)
		}
		offset = end
	}
	if len(kept) == 0 {
		return payload[offset:]
	}
	return append(kept, payload[offset:]...)
}

// confirm applies the next change if a message of the given type confirms it. It reports
// whether the message is for the caller.
func (s *statements) confirm(messageType byte) bool {
	if messageType != typeParseComplete && messageType != typeCloseComplete {
		return true
	}
	change := s.unconfirmed[0]
	s.unconfirmed = s.unconfirmed[1:]
	switch change := change.(type) {
	case preparation:
		if s.byName == nil {
			s.byName = make(map[string]preparedStatement)
		}
		s.forget(change.name)
		s.bytes += len(change.statement.parseMessage)
		s.byName[change.name] = change.statement
		s.onBackend.Add(change.name)
		return !change.added
	case statementClosing:
		s.forget(change.name)
		s.onBackend.Remove(change.name)
	case portalClosing:
	}
	return true
}

// forget removes a statement that may be prepared.
func (s *statements) forget(name string) {
	s.bytes -= len(s.byName[name].parseMessage)
	delete(s.byName, name)
}

// StatementBytes returns how much memory the session's prepared statements take after a request.
func (c *Caller) StatementBytes(request *Request) int {
	bytes := c.statements.bytes
	for _, change := range request.changes {
		if p, ok := change.(preparation); ok && !p.added {
			bytes += len(p.statement.parseMessage)
		}
	}
	return bytes
}

// ResetPrepared records that the next request may run on another backend
// connection, where none of the caller's statements are prepared.
func (c *Caller) ResetPrepared() {
	c.statements.onBackend = ctset.Set[string]{}
}
