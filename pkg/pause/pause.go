// Package pause provides a sleep that ends early with a context.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx has ended and reports whether d passed first.
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
