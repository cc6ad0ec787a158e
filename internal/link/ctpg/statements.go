package ctpg

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// statements holds the statements that a caller prepared.
type statements struct {
	byName map[string]preparedStatement
	// onBackend lists the statements that the backend connection of the open way
	// has.
	onBackend ctset.Set[string]
	// parsesToSkip is how many answers to a Parse are not the caller's.
	parsesToSkip int
}

// complete makes a request of a batch: it adds the statements that the request
// uses and that its way has not seen, and tells its class.
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

// class returns what the batch asks for, as far as that is known.
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

// dropAddedAnswers returns the payload without answers that are not the caller's.
func (s *statements) dropAddedAnswers(payload []byte) []byte {
	payload, s.parsesToSkip = dropParseCompletes(payload, s.parsesToSkip)
	return payload
}

// ResetPrepared tells that the next request may go another way, on which nothing is
// prepared.
func (c *Caller) ResetPrepared() {
	c.statements.onBackend = ctset.Set[string]{}
}
