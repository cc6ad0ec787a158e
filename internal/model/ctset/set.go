package ctset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. The zero value is an empty set, ready for use. Copies of
// a non-empty set share their elements. A Set is not safe for concurrent use.
type Set[T cmp.Ordered] struct {
	elements map[T]struct{}
}

// Of returns a set of the given values.
func Of[T cmp.Ordered](values ...T) Set[T] {
	var set Set[T]
	for _, v := range values {
		set.Add(v)
	}
	return set
}

// Add adds value to the set and reports whether it was absent before.
func (s *Set[T]) Add(value T) bool {
	if s.Has(value) {
		return false
	}
	if s.elements == nil {
		s.elements = make(map[T]struct{})
	}
	s.elements[value] = struct{}{}
	return true
}

// Remove removes value from the set. It does nothing if value is absent.
func (s *Set[T]) Remove(value T) {
	delete(s.elements, value)
}

// Has reports whether value is in the set.
func (s *Set[T]) Has(value T) bool {
	_, ok := s.elements[value]
	return ok
}

// Len returns the number of values.
func (s *Set[T]) Len() int {
	return len(s.elements)
}

// Sorted returns the values in ascending order.
func (s *Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(s.elements))
}
