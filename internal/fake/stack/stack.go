// Package stack keeps the faults that are in effect at the same time, of which each ends on
// its own.
package stack

import "sync"

// Stack holds values until they are removed. The zero value is empty and ready for use. It is
// safe for concurrent use.
type Stack[T any] struct {
	mu sync.Mutex
	// next is the key of the value that is added next.
	next   int
	values map[int]T
}

// Add adds a value and returns a function that removes it.
func (s *Stack[T]) Add(v T) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[int]T{}
	}
	key := s.next
	s.next++
	s.values[key] = v
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.values, key)
	}
}

// Fold combines all values, in no particular order, starting with the zero value of T.
func (s *Stack[T]) Fold(combine func(x, y T) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum T
	for _, v := range s.values {
		sum = combine(sum, v)
	}
	return sum
}
