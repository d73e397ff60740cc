package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Store is what the duties need of the platform.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
}

// Bounds of the retry loop around one conditional update.
const (
	updateFirstDelay = 5 * time.Millisecond
	updateMaxDelay   = 200 * time.Millisecond
	updateMaxTries   = 20
)

// ErrUnchanged is returned by a Change that finds nothing to write, for example
// its own earlier write whose answer was lost.
var ErrUnchanged = errors.New("nothing to write")

// Change computes an object's new value from the present one; nil stands for an
// object that does not exist. It is called again after a conflict or a lost
// answer, so it must recognise its own earlier write in the value.
type Change func(value []byte) ([]byte, error)

// Update applies change by conditional writes until one takes effect. It
// returns nil also when change answers ErrUnchanged, and change's other errors
// as they are. A write of uncertain fate is settled by reading back: change
// sees the object as it is and finds its own mark or not.
func Update(ctx context.Context, store Store, key string, change Change) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = updateFirstDelay
	policy.MaxInterval = updateMaxDelay
	attempt := func() (struct{}, error) {
		return struct{}{}, updateOnce(ctx, store, key, change)
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(policy), backoff.WithMaxTries(updateMaxTries))
	return err
}

func updateOnce(ctx context.Context, store Store, key string, change Change) error {
	object, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return retryable(ctx, err)
	}
	value, err := change(object.Value)
	if errors.Is(err, ErrUnchanged) {
		return nil
	}
	if err != nil {
		return backoff.Permanent(err)
	}
	_, err = store.Put(ctx, key, value, object.Version)
	return retryable(ctx, err)
}

// retryable marks as permanent whatever another try cannot mend in time: an
// unreachable store is reported at once so that duties can work around it.
func retryable(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	again := errors.Is(err, ErrConflict) || errors.Is(err, ErrUncertain) || errors.Is(err, ErrThrottled)
	if !again || ctx.Err() != nil {
		return backoff.Permanent(err)
	}
	return err
}
