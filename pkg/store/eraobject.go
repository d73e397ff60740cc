package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// FirstEra is the era of a store that has never been rolled back. The keys of its objects do not
// contain the era.
const FirstEra Era = 1

// Lister is a store whose kinds can be listed.
type Lister interface {
	Store
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
}

// ReadEraObject reads the object that represents a key in the present era. Objects whose contents must
// survive a rollback of the store have a separate key in each era: a write of an older era that
// arrives late, or whose expected version has been assigned again, concerns another object and
// replaces nothing. If the present era has no object yet, the returned object is to be created at its
// Key and Position, and its value is that of the object of the latest older era.
func ReadEraObject(ctx context.Context, s Lister, key string) (Object, error) {
	for era := FirstEra; ; {
		object, err := s.Get(ctx, EraKey(key, era))
		if err != nil && !errors.Is(err, ErrNotFound) {
			return Object{}, err
		}
		if storeEra := object.Position.Era; storeEra > era {
			era = storeEra // read the object of the store's era instead
			continue
		}
		if err == nil || era == FirstEra {
			object.Key = EraKey(key, era)
			return object, nil
		}
		return latestOlderObject(ctx, s, key, object.Position)
	}
}

// latestOlderObject returns the object to create at a position, with the value that the key has in the
// latest older era.
func latestOlderObject(ctx context.Context, s Lister, key string, at Position) (Object, error) {
	kind, _, _ := strings.Cut(key, "/")
	list, err := s.List(ctx, kind)
	if err != nil {
		return Object{}, err
	}
	initial := Object{Key: EraKey(key, at.Era), Position: at}
	newest := Era(0)
	for _, object := range list.Objects {
		era, matches := eraOfKey(object.Key, key)
		if matches && era < at.Era && era > newest {
			newest, initial.Value = era, object.Value
		}
	}
	return initial, nil
}

// EraKey returns the key of the object that represents a key in an era.
func EraKey(key string, era Era) string {
	if era <= FirstEra {
		return key
	}
	return fmt.Sprintf("%s-%d", key, era)
}

// eraOfKey returns the era of an object's key and whether the object represents the given key.
func eraOfKey(objectKey, key string) (era Era, matches bool) {
	rest, matches := strings.CutPrefix(objectKey, key)
	if !matches || rest == "" {
		return FirstEra, matches
	}
	text, matches := strings.CutPrefix(rest, "-")
	number, err := strconv.ParseUint(text, 10, 64)
	return Era(number), matches && err == nil
}
