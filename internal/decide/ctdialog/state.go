package ctdialog

import (
	"maps"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// State is what outlives a session's transactions: its values and its prepared
// statements. Its zero value is empty.
type State struct {
	values   map[string]string
	prepared map[string]ctquery.Shape
}

func (s *State) set(statement ctquery.Set) {
	if s.values == nil {
		s.values = make(map[string]string)
	}
	s.values[statement.Name] = statement.Value
}

func (s *State) prepare(statement ctquery.Prepare) {
	if s.prepared == nil {
		s.prepared = make(map[string]ctquery.Shape)
	}
	s.prepared[statement.Name] = statement.Shape
}

func (s *State) deallocate(statement ctquery.Deallocate) {
	delete(s.prepared, statement.Name)
}

// NewState returns the state of a session with values and, where there is one, a
// shape that is prepared under its shared name.
func NewState(values map[string]string, shape *ctquery.Shape) *State {
	s := &State{values: values}
	if shape != nil {
		s.prepare(ctquery.Prepare{Name: SharedName(*shape), Shape: *shape})
	}
	return s
}

// Parameters returns the session's values. The map must not be changed.
func (s *State) Parameters() map[string]string {
	return s.values
}

// ShapeOf returns the shape that a statement runs by its shared name, or nil.
func (s *State) ShapeOf(statement ctquery.Statement) *ctquery.Shape {
	execute, ok := statement.(ctquery.Execute)
	if !ok {
		return nil
	}
	for _, shape := range s.prepared {
		if SharedName(shape) == execute.Name {
			return &shape
		}
	}
	return nil
}

// SharedName returns the name under which a shape is prepared on the connections
// to members. Every session that prepares the shape uses the same one, so that
// it says the same thing on each connection.
func SharedName(shape ctquery.Shape) string {
	if shape.Writes {
		return "w_" + shape.Text
	}
	return "r_" + shape.Text
}

// ConnectionState is what a connection to a member holds of sessions' state. Its zero
// value is that of a new connection.
type ConnectionState struct {
	values   map[string]string
	prepared map[string]struct{}
}

// Matches reports whether the connection has the session's values.
func (l *ConnectionState) Matches(state *State) bool {
	return maps.Equal(l.values, state.values)
}

// Update returns the queries that give the connection the session's values and
// what the statement names, and notes them as done.
func (l *ConnectionState) Update(state *State, statement ctquery.Statement) []ctquery.Query {
	queries := l.loadValues(state)
	execute, ok := statement.(ctquery.Execute)
	if !ok {
		return queries
	}
	if _, loaded := l.prepared[execute.Name]; loaded {
		return queries
	}
	shape := state.ShapeOf(statement)
	if shape == nil {
		return queries
	}
	if l.prepared == nil {
		l.prepared = make(map[string]struct{})
	}
	l.prepared[execute.Name] = struct{}{}
	prepare := ctquery.Prepare{Name: execute.Name, Shape: *shape}
	return append(queries, ctquery.Query{Statement: prepare})
}

func (l *ConnectionState) loadValues(state *State) []ctquery.Query {
	if l.Matches(state) {
		return nil
	}
	var queries []ctquery.Query
	for name := range l.values {
		if _, kept := state.values[name]; !kept {
			queries = append(queries, ctquery.Query{Statement: ctquery.Reset{}})
			*l = ConnectionState{}
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(state.values)) {
		if value, ok := l.values[name]; !ok || value != state.values[name] {
			set := ctquery.Set{Name: name, Value: state.values[name]}
			queries = append(queries, ctquery.Query{Statement: set})
		}
	}
	l.values = maps.Clone(state.values)
	return queries
}
