package entry

import "sync"

// Constants of the retry budget.
const (
	// retriesPerRequest is the part of a retry that each dispatched request adds
	// to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the retries that the budget holds.
	maxSavedRetries = 10.0
)

// retryBudget limits retries to a small part of the traffic: when many upstreams
// fail at once, retrying each request would double the load on those that still
// work. The zero value allows no retry before requests have been dispatched.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

// deposit adds one request's part to the budget. It is called once for each
// request, before its first dispatch.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retriesPerRequest, maxSavedRetries)
}

// withdraw takes one retry from the budget and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// restore gives back a retry that was withdrawn but not made.
func (b *retryBudget) restore() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+1, maxSavedRetries)
}
