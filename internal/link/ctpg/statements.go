package ctpg

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// statements holds the prepared statements of a session. They remain usable for the
// caller when another backend connection serves the session.
type statements struct {
	byName map[string]preparedStatement
	// onBackend contains the names of the statements that are prepared on the current
	// backend connection.
	onBackend ctset.Set[string]
	// parsesToSkip is the number of ParseComplete messages of the current answer that
	// must not reach the caller, because they answer Parse messages that NextRequest added.
	parsesToSkip int
}

// complete returns the request of a batch. In front of the batch's messages, it adds
// a Parse message for each statement that the request uses and that is not prepared
// on the current backend connection.
func (s *statements) complete(b *batch) *Request {
	var payload []byte
	addedParses := 0
	for _, name := range b.required.Sorted() {
		statement, ok := s.byName[name]
		if !ok || s.onBackend.Has(name) {
			continue
		}
		payload = append(payload, statement.parseMessage...)
		s.onBackend.Add(name)
		addedParses++
	}
	s.record(b)
	return &Request{
		Class:       s.class(b),
		Key:         b.key,
		InvalidKey:  b.invalidKey,
		Payload:     append(payload, b.payload...),
		addedParses: addedParses,
	}
}

// record applies what the batch prepares and closes.
func (s *statements) record(b *batch) {
	if s.byName == nil && len(b.parsed) > 0 {
		s.byName = make(map[string]preparedStatement)
	}
	for name, statement := range b.parsed {
		s.byName[name] = statement
		s.onBackend.Add(name)
	}
	for _, name := range b.closed {
		delete(s.byName, name)
		s.onBackend.Remove(name)
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
	class := s.byName[b.executed[0]].class
	for _, name := range b.executed[1:] {
		if class != ctstatement.Select || s.byName[name].class != ctstatement.Select {
			return ctstatement.Write
		}
	}
	return class
}

// dropAddedAnswers removes the answers to the Parse messages that NextRequest added from a
// part of the answer. The parts must be given in order.
func (s *statements) dropAddedAnswers(payload []byte) []byte {
	payload, s.parsesToSkip = dropParseCompletes(payload, s.parsesToSkip)
	return payload
}

// ResetPrepared records that the next request may run on another backend
// connection, where none of the caller's statements are prepared.
func (c *Caller) ResetPrepared() {
	c.statements.onBackend = ctset.Set[string]{}
}
