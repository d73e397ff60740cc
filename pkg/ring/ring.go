// Package ring provides a bounded queue between two goroutines that never blocks
// the writer.
package ring

// Queue is a bounded first-in, first-out queue. A full queue rejects items, so that
// the writer learns immediately that the reader is behind and memory stays bounded.
type Queue[T any] struct {
	items chan T
}

// New returns a queue with the given capacity in items, which must be positive.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// TryPut adds an item if there is room for it and reports whether it did.
func (r *Queue[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel from which the reader receives items.
func (r *Queue[T]) Items() <-chan T { return r.items }
