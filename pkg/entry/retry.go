package entry

import "sync"

// Constants of the retry budget.
const (
	// retryShare is how many retries one accepted request pays for.
	retryShare = 0.1
	// retryBurst bounds the retries saved up.
	retryBurst = 10.0
)

// retryBudget keeps retries a small part of the traffic: when upstreams fail
// altogether, retrying each request would double the load on what still works.
// The zero value holds nothing until requests have paid in.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

// deposit is called for each request dispatched for the first time.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, retryBurst)
}

// withdraw takes one retry and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
