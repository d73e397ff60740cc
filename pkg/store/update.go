package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the retry loop around one conditional update.
const (
	updateFirstDelay = 5 * time.Millisecond
	updateMaxDelay   = 200 * time.Millisecond
	updateMaxTries   = 20
)

// ErrUnchanged is returned by a Modify that finds nothing to write, for example
// its own earlier write whose answer was lost.
var ErrUnchanged = errors.New("nothing to write")

// Modify computes an object's new value from the present one; nil stands for an
// object that does not exist. It is called again after a conflict or a lost
// answer, so it must recognise its own earlier write in the value.
type Modify func(value []byte) ([]byte, error)

// ModifyObject is a Modify that sees the whole object; one of no version does not exist, and may
// have the value that it is to be made of.
type ModifyObject func(object Object) ([]byte, error)

// updater is one update on its way.
type updater struct {
	store  Store
	read   func(ctx context.Context) (Object, error)
	modify ModifyObject
	// present is what the answer to a conflict told; nil to read.
	present *Object
}

// Update applies modify by conditional writes until one takes effect. It
// returns nil also when modify answers ErrUnchanged, and modify's other errors
// as they are. A write of uncertain fate is settled by reading back: modify
// sees the object as it is and finds its own mark or not.
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

// UpdateEraObject is Update of the object that stands for a key in the store's present era.
func UpdateEraObject(ctx context.Context, s Lister, key string, modify ModifyObject) error {
	read := func(ctx context.Context) (Object, error) { return ReadEraObject(ctx, s, key) }
	return update(ctx, &updater{store: s, read: read, modify: modify})
}

func update(ctx context.Context, u *updater) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = updateFirstDelay
	policy.MaxInterval = updateMaxDelay
	attempt := func() (struct{}, error) { return struct{}{}, u.once(ctx) }
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(policy), backoff.WithMaxTries(updateMaxTries))
	return err
}

func (u *updater) once(ctx context.Context) error {
	object, err := u.next(ctx)
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
		u.present = &conflict.Present
		u.present.Key = object.Key
	}
	return retryable(ctx, err)
}

// next returns the object as it stands; what a conflict told is used once.
func (u *updater) next(ctx context.Context) (Object, error) {
	if u.present != nil {
		object := *u.present
		u.present = nil
		return object, nil
	}
	return u.read(ctx)
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
