package ctdialog

import (
	"maps"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// State is the part of a session that outlives its transactions: run-time
// parameters and prepared statements. The zero value is empty.
type State struct {
	parameters map[ctquery.Word]ctquery.Text
	prepared   map[ctquery.Word]prepared
	// bytes is about how much memory the maps take.
	bytes int
}

// prepared is a prepared statement of a session.
type prepared struct {
	shape ctquery.Shape
	// sharedName is the shape's SharedName.
	sharedName ctquery.Word
}

func (s *State) set(statement ctquery.Set) {
	if s.parameters == nil {
		s.parameters = make(map[ctquery.Word]ctquery.Text)
	}
	if old, ok := s.parameters[statement.Name]; ok {
		s.bytes -= parameterBytes(statement.Name, old)
	}
	s.bytes += parameterBytes(statement.Name, statement.Value)
	s.parameters[statement.Name] = statement.Value
}

func (s *State) prepare(statement ctquery.Prepare) {
	if s.prepared == nil {
		s.prepared = make(map[ctquery.Word]prepared)
	}
	s.deallocate(ctquery.Deallocate{Name: ctquery.Text(statement.Name)})
	s.bytes += preparedBytes(statement.Name, statement.Shape)
	s.prepared[statement.Name] = prepared{shape: statement.Shape, sharedName: statement.Shape.SharedName()}
}

func (s *State) deallocate(statement ctquery.Deallocate) {
	name := ctquery.Word(statement.Name)
	if old, ok := s.prepared[name]; ok {
		s.bytes -= preparedBytes(name, old.shape)
	}
	delete(s.prepared, name)
}

// stateEntryBytes is the size of a parameter or a prepared statement besides its texts.
const stateEntryBytes = 64

func parameterBytes(name ctquery.Word, value ctquery.Text) int {
	return stateEntryBytes + len(name) + len(value)
}

func preparedBytes(name ctquery.Word, shape ctquery.Shape) int {
	return stateEntryBytes + len(name) + len(shape.Text)
}

// Bytes returns about how much memory the state takes.
func (s *State) Bytes() int {
	return s.bytes
}

// BytesAdded returns how much more memory the state may take after a statement.
func BytesAdded(statement ctquery.Statement) int {
	switch s := statement.(type) {
	case ctquery.Set:
		return parameterBytes(s.Name, s.Value)
	case ctquery.Prepare:
		return preparedBytes(s.Name, s.Shape)
	}
	return 0
}

// NewState returns a state with the given parameters, in which a shape that is not nil is
// prepared. The state retains the map.
func NewState(parameters map[ctquery.Word]ctquery.Text, shape *ctquery.Shape) *State {
	s := &State{parameters: parameters}
	if shape != nil {
		s.prepare(ctquery.Prepare{Shape: *shape})
	}
	return s
}

// Parameters returns the session's parameters by name. The map must not be
// changed, and is nil if none is set.
func (s *State) Parameters() map[ctquery.Word]ctquery.Text {
	return s.parameters
}

// ShapeOf returns the prepared shape that an Execute names by its shared name. It
// returns nil for other statements and for unknown names.
func (s *State) ShapeOf(statement ctquery.Statement) *ctquery.Shape {
	execute, ok := statement.(ctquery.Execute)
	if !ok {
		return nil
	}
	for _, p := range s.prepared {
		if p.sharedName == execute.Name {
			return &p.shape
		}
	}
	return nil
}

// maxPreparedNames is how many prepared statements a connection has at once.
const maxPreparedNames = 256

// ConnectionState is the session state that is set up on a connection to a
// member. The zero value is that of a new connection. A copy is not changed by later
// updates of the original.
type ConnectionState struct {
	parameters map[ctquery.Word]ctquery.Text
	// prepared holds shared names, from the one that was prepared first to the last.
	prepared []ctquery.Word
}

// Bytes returns about how much memory the connection's values take.
func (c *ConnectionState) Bytes() int {
	bytes := 0
	for name, value := range c.parameters {
		bytes += parameterBytes(name, value)
	}
	return bytes
}

// Matches reports whether the connection's parameters equal the session's.
func (c *ConnectionState) Matches(state *State) bool {
	return maps.Equal(c.parameters, state.parameters)
}

// Update returns the queries that the driver must run before the statement: they
// set the session's parameters and prepare the shape that the statement executes.
// It records them as done. If one of them fails, the connection must be closed.
func (c *ConnectionState) Update(state *State, statement ctquery.Statement) []ctquery.Query {
	queries := c.updateParameters(state)
	execute, ok := statement.(ctquery.Execute)
	if !ok {
		return queries
	}
	if slices.Contains(c.prepared, execute.Name) {
		return queries
	}
	shape := state.ShapeOf(statement)
	if shape == nil {
		return queries
	}
	if len(c.prepared) == maxPreparedNames {
		queries = append(queries, ctquery.Query{Statement: ctquery.Deallocate{Name: ctquery.Text(c.prepared[0])}})
		c.prepared = c.prepared[1:]
	}
	c.prepared = append(slices.Clip(c.prepared), execute.Name)
	prepare := ctquery.Prepare{Name: execute.Name, Shape: *shape}
	return append(queries, ctquery.Query{Statement: prepare})
}

func (c *ConnectionState) updateParameters(state *State) []ctquery.Query {
	if c.Matches(state) {
		return nil
	}
	var queries []ctquery.Query
	for name := range c.parameters {
		if _, found := state.parameters[name]; !found {
			queries = append(queries, ctquery.Query{Statement: ctquery.Reset{}})
			*c = ConnectionState{}
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(state.parameters)) {
		if value, ok := c.parameters[name]; !ok || value != state.parameters[name] {
			set := ctquery.Set{Name: name, Value: state.parameters[name]}
			queries = append(queries, ctquery.Query{Statement: set})
		}
	}
	c.parameters = maps.Clone(state.parameters)
	return queries
}
