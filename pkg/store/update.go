package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the retry loop around one conditional update.
const (
	updateInitialInterval = 5 * time.Millisecond
	updateMaxInterval     = 200 * time.Millisecond
	updateMaxAttempts     = 20
)

// ErrUnchanged is returned by a Modify that finds nothing to write, for example
// its own earlier write whose answer was lost.
var ErrUnchanged = errors.New("nothing to write")

// Modify computes an object's new value from its present one, which is nil if the
// object does not exist. It is called again after a conflict or a lost answer, so
// it must recognise its own earlier write in the value.
type Modify func(value []byte) ([]byte, error)

// ModifyObject is like Modify but gets the whole object. An object without a version does not exist;
// its value, if any, is the one to start from.
type ModifyObject func(object Object) ([]byte, error)

// updater is one update in progress.
type updater struct {
	store  Store
	read   func(ctx context.Context) (Object, error)
	modify ModifyObject
	// current is the object that the answer to a conflict contained; nil if it has to be read.
	current *Object
}

// Update applies modify by conditional writes until one takes effect, at most
// updateMaxAttempts times. It returns nil if modify returns ErrUnchanged, and
// returns modify's other errors as they are. After a write whose outcome is
// uncertain it reads the object again and calls modify, which recognises by its
// own mark in the value whether the write took effect.
func Update(ctx context.Context, s Store, key string, modify Modify) error {
	read := func(ctx context.Context) (Object, error) {
		object, err := s.Get(ctx, key)
		object.Key = key
		if errors.Is(err, ErrNotFound) {
			err = nil
		}
		return object, err
	}
	return update(ctx, &updater{store: s, read: read, modify: func(o Object) ([]byte, error) { return modify(o.Value) }})
}

// UpdateEraObject is like Update for the object that represents a key in the store's present era.
func UpdateEraObject(ctx context.Context, s Lister, key string, modify ModifyObject) error {
	read := func(ctx context.Context) (Object, error) { return ReadEraObject(ctx, s, key) }
	return update(ctx, &updater{store: s, read: read, modify: modify})
}

func update(ctx context.Context, u *updater) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = updateInitialInterval
	policy.MaxInterval = updateMaxInterval
	attempt := func() (struct{}, error) { return struct{}{}, u.tryOnce(ctx) }
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(policy), backoff.WithMaxTries(updateMaxAttempts))
	return err
}

func (u *updater) tryOnce(ctx context.Context) error {
	object, err := u.currentObject(ctx)
	if err != nil {
		return retryable(ctx, err)
	}
	value, err := u.modify(object)
	if errors.Is(err, ErrUnchanged) {
		return nil
	}
	if err != nil {
		return backoff.Permanent(err)
	}
	_, err = u.store.Put(ctx, object.Key, value, object.Position)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Present.Position.Era == object.Position.Era {
		u.current = &conflict.Present
		u.current.Key = object.Key
	}
	return retryable(ctx, err)
}

// currentObject returns the object to modify: the one from the last conflict, which is used once, or
// else the one that it reads.
func (u *updater) currentObject(ctx context.Context) (Object, error) {
	if u.current != nil {
		object := *u.current
		u.current = nil
		return object, nil
	}
	return u.read(ctx)
}

// retryable marks an error as permanent unless another attempt is likely to
// succeed. The error of an unreachable store is permanent, so that callers learn
// of it at once and can work without the store.
func retryable(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	retry := errors.Is(err, ErrConflict) || errors.Is(err, ErrUncertain) || errors.Is(err, ErrThrottled)
	if !retry || ctx.Err() != nil {
		return backoff.Permanent(err)
	}
	return err
}
