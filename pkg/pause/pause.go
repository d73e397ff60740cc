// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and reports whether the context still stands.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
