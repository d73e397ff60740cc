// Package ring joins the goroutines of two duties by a bounded queue that
// never blocks its writer.
package ring

// Ring is a bounded first-in first-out queue. A full ring refuses: the writer
// learns at once that the reader is behind, and memory stays bounded.
type Ring[T any] struct {
	items chan T
}

// New returns a ring of the given capacity in items; capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds an item and reports whether there was room for it.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel that the reading duty receives from.
func (r *Ring[T]) Items() <-chan T { return r.items }
