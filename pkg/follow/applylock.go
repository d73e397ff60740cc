package follow

import "sync"

// applyLock is a mutual exclusion lock whose waiters block on a channel. It is held while a large
// copy is decoded; in tests in virtual time, time passes meanwhile, which it would not if the
// waiters blocked on a mutex.
type applyLock struct {
	once sync.Once
	// held is full while the lock is held.
	held chan struct{}
}

// Lock waits until the lock is free and takes it.
func (l *applyLock) Lock() {
	l.once.Do(func() { l.held = make(chan struct{}, 1) })
	l.held <- struct{}{}
}

// Unlock frees the lock.
func (l *applyLock) Unlock() { <-l.held }
