// Package operator holds what the command line does for operators.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
)

// Errors told to operators.
var (
	// ErrInvalidDocument means that the document breaks a rule; nothing was written.
	ErrInvalidDocument = errors.New("the document is not valid")
	// ErrEditedMeanwhile means that somebody else wrote the document since it
	// was read; nothing was written and nothing is lost.
	ErrEditedMeanwhile = errors.New("the document was edited meanwhile; show it, bring the edits together, apply again")
)

// Bounds of the commands.
const (
	callTimeout   = 5 * time.Second
	acceptTimeout = 20 * time.Second
	acceptPoll    = 100 * time.Millisecond
)

func read(path string) ([]byte, *document.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrInvalidDocument, path, err)
	}
	return text, doc, nil
}

// Check checks a document file.
func Check(out io.Writer, path string) error {
	_, doc, err := read(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: valid; service %s, %d accounts, %d pools\n",
		path, doc.Service, len(doc.Accounts), len(doc.Pools))
	return err
}

// Apply writes a document, unless its stored version is not the expected one,
// and waits until the fleet has accepted or refused it. Without expect the
// version stored at the moment is expected, so that of two operators who apply
// at once one is told.
func Apply(ctx context.Context, out io.Writer, address, path string, expect *int64) error {
	text, doc, err := read(path)
	if err != nil {
		return err
	}
	client := platform.NewClient(address, callTimeout, nil)
	key := configsync.DocumentPrefix + doc.Service
	version, err := expected(ctx, client, key, expect)
	if err != nil {
		return err
	}
	written, err := put(ctx, client, key, text, version)
	if err != nil {
		return err
	}
	return awaitAccepted(ctx, out, client, doc.Service, written)
}

func expected(ctx context.Context, client *platform.Client, key string, expect *int64) (store.Position, error) {
	if expect != nil {
		return store.At(store.Version(*expect)), nil
	}
	object, err := client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.NoPosition, nil
	}
	return object.Position, err
}

// put writes the document; a lost answer is settled by reading back.
func put(
	ctx context.Context, client *platform.Client, key string, text []byte, version store.Position,
) (store.Position, error) {
	written, err := client.Put(ctx, key, text, version)
	if errors.Is(err, store.ErrUncertain) {
		object, readErr := client.Get(ctx, key)
		if readErr == nil && string(object.Value) == string(text) {
			return object.Position, nil
		}
	}
	if errors.Is(err, store.ErrConflict) {
		return store.NoPosition, fmt.Errorf("%w (expected version %v)", ErrEditedMeanwhile, version)
	}
	return written, err
}

func awaitAccepted(
	ctx context.Context, out io.Writer, client *platform.Client, service string, version store.Position,
) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for ctx.Err() == nil {
		object, err := client.Get(ctx, configsync.StatusPrefix+service)
		var status configsync.Status
		if err == nil && json.Unmarshal(object.Value, &status) == nil && !status.DocumentVersion.Before(version) {
			return report(out, status, version)
		}
		time.Sleep(acceptPoll)
	}
	return fmt.Errorf("document version %d is stored; no instance has accepted it within %v", version, acceptTimeout)
}

func report(out io.Writer, status configsync.Status, version store.Position) error {
	if version.Before(status.DocumentVersion) {
		_, err := fmt.Fprintf(out, "version %d is stored; version %d has followed it\n", version, status.DocumentVersion)
		return err
	}
	if !status.Accepted {
		return fmt.Errorf("%w: version %d was refused: %s", ErrInvalidDocument, version, status.Reason)
	}
	_, err := fmt.Fprintf(out, "version %d is accepted\n", version)
	return err
}

// Show prints the stored document, its version, and what became of it.
func Show(ctx context.Context, out io.Writer, address, service string) error {
	client := platform.NewClient(address, callTimeout, nil)
	object, err := client.Get(ctx, configsync.DocumentPrefix+service)
	if err != nil {
		return err
	}
	accepted := configsync.Accepted{}
	if held, err := client.Get(ctx, configsync.AcceptedPrefix+service); err == nil {
		if accepted, err = configsync.DecodeAccepted(held.Value); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "# stored version %d; accepted version %d as generation %d\n%s",
		object.Position, accepted.DocumentVersion, accepted.Generation, object.Value)
	return err
}
