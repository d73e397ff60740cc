package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Accept validates a document that an operator wrote and records it under a new
// generation. An invalid document is recorded as rejected, with the reason, and
// the document in force stays. Several instances may accept the same document
// concurrently: one of their conditional writes succeeds, and the others find
// the document's version already recorded.
func (s *Syncer) Accept(ctx context.Context, object store.Object) error {
	service := strings.TrimPrefix(object.Key, DocumentPrefix)
	doc, err := document.Parse(object.Value)
	if err == nil && doc.Service != service {
		fieldErr := document.FieldError{Key: "service", Value: doc.Service, Allowed: "the document's own name, " + service}
		err = &document.InvalidError{FieldErrors: []document.FieldError{fieldErr}}
	}
	if err != nil {
		return s.reject(ctx, service, object.Position, err)
	}
	accepted, err := s.recordAccepted(ctx, service, object)
	if err != nil {
		return err
	}
	_, err = s.apply(accepted)
	return err
}

func (s *Syncer) recordAccepted(ctx context.Context, service string, object store.Object) (Accepted, error) {
	var accepted Accepted
	var written bool
	err := store.Update(ctx, s.store, AcceptedPrefix+service, func(value []byte) ([]byte, error) {
		written = false
		accepted = Accepted{Service: service}
		if value != nil {
			decoded, err := DecodeAccepted(value)
			if err != nil {
				return nil, err
			}
			accepted = decoded
		}
		if !accepted.DocumentVersion.Before(object.Position) {
			return nil, store.ErrUnchanged
		}
		accepted.Generation++
		accepted.DocumentVersion = object.Position
		accepted.Text = object.Value
		written = true
		return json.Marshal(accepted)
	})
	if err != nil {
		return Accepted{}, err
	}
	if written {
		s.log.Event(eventlog.ConfigAccepted, "", eventlog.Fields{"service": service, "generation": accepted.Generation})
		return accepted, s.writeStatus(ctx, Status{Service: service, DocumentVersion: object.Position, Accepted: true})
	}
	return accepted, nil
}

func (s *Syncer) reject(ctx context.Context, service string, version store.Position, cause error) error {
	var invalid *document.InvalidError
	if !errors.As(cause, &invalid) {
		return cause
	}
	s.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"service": service, "reason": cause.Error()})
	return s.writeStatus(ctx, Status{Service: service, DocumentVersion: version, Reason: cause.Error()})
}

// writeStatus stores whether a document was accepted or rejected, unless the
// status of this or a newer version of the document is already stored.
func (s *Syncer) writeStatus(ctx context.Context, status Status) error {
	return store.Update(ctx, s.store, StatusPrefix+status.Service, func(value []byte) ([]byte, error) {
		var stored Status
		if value != nil {
			if err := json.Unmarshal(value, &stored); err != nil {
				return nil, err
			}
		}
		if !stored.DocumentVersion.Before(status.DocumentVersion) {
			return nil, store.ErrUnchanged
		}
		return json.Marshal(status)
	})
}
