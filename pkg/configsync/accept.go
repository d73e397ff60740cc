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
// generation, or records why not and leaves what is in force. Any number of
// instances may do it at once: of their conditional writes one takes effect, and
// the others find the document's version recorded.
func (s *Syncer) Accept(ctx context.Context, object store.Object) error {
	service := strings.TrimPrefix(object.Key, DocumentPrefix)
	doc, err := document.Parse(object.Value)
	if err == nil && doc.Service != service {
		fault := document.Fault{Key: "service", Value: doc.Service, Allowed: "the document's own name, " + service}
		err = &document.InvalidError{Faults: []document.Fault{fault}}
	}
	if err != nil {
		return s.reject(ctx, service, object.Position, err)
	}
	accepted, err := s.record(ctx, service, object)
	if err != nil {
		return err
	}
	_, err = s.apply(accepted)
	return err
}

func (s *Syncer) record(ctx context.Context, service string, object store.Object) (Accepted, error) {
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

// writeStatus records what became of a document unless a newer one is recorded.
func (s *Syncer) writeStatus(ctx context.Context, status Status) error {
	return store.Update(ctx, s.store, StatusPrefix+status.Service, func(value []byte) ([]byte, error) {
		var present Status
		if value != nil {
			if err := json.Unmarshal(value, &present); err != nil {
				return nil, err
			}
		}
		if !present.DocumentVersion.Before(status.DocumentVersion) {
			return nil, store.ErrUnchanged
		}
		return json.Marshal(status)
	})
}
