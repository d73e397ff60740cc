package forward

import (
	"context"
	"sync/atomic"

	"github.com/lavenderring/lavenderring/pkg/reach"
)

// reachLinks are links that do not lead to one address.
type reachLinks struct {
	Links
	unreached string
	refused   atomic.Int32
}

// Connect implements Links.
func (l *reachLinks) Connect(ctx context.Context, target reach.Target) (reach.Connection, error) {
	if target.Address == l.unreached {
		l.refused.Add(1)
		return reach.Connection{}, reach.ErrUnreached
	}
	return l.Links.Connect(ctx, target)
}

// retryShares returns the extra of retrylimit.Settings that allows a number of retries at a single instance.
func retryShares(retries int) float64 {
	const extraPerRetry = 18
	return extraPerRetry * float64(retries)
}
