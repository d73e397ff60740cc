package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// FirstEra is that of a store which has never gone back. Its objects bear no era in their names.
const FirstEra Era = 1

// Lister is a store whose kinds can be listed.
type Lister interface {
	Store
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
}

// ReadEraObject reads the object that stands for a key in the present era. Objects that must
// outlast the store's going back have a name of their own in each era: a write of an older era that
// arrives late, or whose version has been given out again, meets another object and replaces
// nothing. If the present era has none yet, what is returned is to be created, with the value of the
// newest older one; its key says where.
func ReadEraObject(ctx context.Context, s Lister, key string) (Object, error) {
	for era := FirstEra; ; {
		object, err := s.Get(ctx, EraKey(key, era))
		if err != nil && !errors.Is(err, ErrNotFound) {
			return Object{}, err
		}
		if told := object.Position.Era; told > era {
			era = told // the object of this one is the one that counts
			continue
		}
		if err == nil || era == FirstEra {
			object.Key = EraKey(key, era)
			return object, nil
		}
		return newestOlder(ctx, s, key, object.Position)
	}
}

// newestOlder returns what the object of an era is made of, to be created at a position.
func newestOlder(ctx context.Context, s Lister, key string, at Position) (Object, error) {
	kind, _, _ := strings.Cut(key, "/")
	list, err := s.List(ctx, kind)
	if err != nil {
		return Object{}, err
	}
	made := Object{Key: EraKey(key, at.Era), Position: at}
	newest := Era(0)
	for _, object := range list.Objects {
		era, ofKey := eraOf(object.Key, key)
		if ofKey && era < at.Era && era > newest {
			newest, made.Value = era, object.Value
		}
	}
	return made, nil
}

// EraKey is the key of the object that stands for a key in an era.
func EraKey(key string, era Era) string {
	if era <= FirstEra {
		return key
	}
	return fmt.Sprintf("%s-%d", key, era)
}

// eraOf reads the era from an object's key, if it stands for the key given.
func eraOf(objectKey, key string) (era Era, ofKey bool) {
	rest, ofKey := strings.CutPrefix(objectKey, key)
	if !ofKey || rest == "" {
		return FirstEra, ofKey
	}
	text, ofKey := strings.CutPrefix(rest, "-")
	number, err := strconv.ParseUint(text, 10, 64)
	return Era(number), ofKey && err == nil
}
