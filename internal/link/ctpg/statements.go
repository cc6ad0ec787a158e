package ctpg

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// statements holds the statements that a caller prepared.
type statements struct {
	known map[string]prepared
	// onWay lists the statements that the backend connection of the open way
	// has.
	onWay ctset.Set[string]
	// skip is how many answers to a Parse are not the caller's.
	skip int
}

// complete makes a request of a batch: it adds the statements that the request
// uses and that its way has not seen, and tells its class.
func (s *statements) complete(b *batch) *Request {
	var payload []byte
	added := 0
	for _, name := range b.used.Sorted() {
		statement, ok := s.known[name]
		if !ok || s.onWay.Has(name) {
			continue
		}
		payload = append(payload, statement.message...)
		s.onWay.Add(name)
		added++
	}
	s.learn(b)
	return &Request{
		Class:      s.class(b),
		Key:        b.key,
		InvalidKey: b.badKey,
		Payload:    append(payload, b.payload...),
		added:      added,
	}
}

func (s *statements) learn(b *batch) {
	if s.known == nil && len(b.parsed) > 0 {
		s.known = make(map[string]prepared)
	}
	for name, statement := range b.parsed {
		s.known[name] = statement
		s.onWay.Add(name)
	}
	for _, name := range b.closed {
		delete(s.known, name)
		s.onWay.Remove(name)
	}
}

// class returns what the batch asks for, as far as that is known.
func (s *statements) class(b *batch) ctstatement.Class {
	if class, ok := b.simple.Get(); ok {
		return class
	}
	if b.strange {
		return ctstatement.Write
	}
	if len(b.executed) == 0 {
		return ctstatement.Empty
	}
	class := s.known[b.executed[0]].class
	for _, name := range b.executed[1:] {
		if class != ctstatement.Select || s.known[name].class != ctstatement.Select {
			return ctstatement.Write
		}
	}
	return class
}

// filter returns the payload without answers that are not the caller's.
func (s *statements) filter(payload []byte) []byte {
	payload, s.skip = filterParsed(payload, s.skip)
	return payload
}

// ResetPrepared tells that the next request may go another way, on which nothing is
// prepared.
func (c *Caller) ResetPrepared() {
	c.statements.onWay = ctset.Set[string]{}
}
