// Package operator implements the commands that operators run.
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

// Errors reported to operators.
var (
	// ErrInvalidDocument means that a document did not pass validation, either
	// before it was written or by the instance that read it from the store.
	ErrInvalidDocument = errors.New("the document is not valid")
	// ErrConcurrentEdit means that another operator wrote the document since it
	// was read. Nothing was written, so neither edit is lost.
	ErrConcurrentEdit = errors.New("the document was changed since it was read; show it, merge the edits and apply it again")
)

// Timeouts of calls to the store or an instance and of the wait for acceptance,
// and the interval of the reads during that wait.
const (
	callTimeout        = 5 * time.Second
	acceptTimeout      = 20 * time.Second
	acceptPollInterval = 100 * time.Millisecond
)

func loadDocument(path string) ([]byte, *document.Document, error) {
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

// CheckDocument validates a document file and prints a summary of it.
func CheckDocument(out io.Writer, path string) error {
	_, doc, err := loadDocument(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: valid; service %s, %d accounts, %d pools\n",
		path, doc.Service, len(doc.Accounts), len(doc.Pools))
	return err
}

// ApplyDocument writes a document if its stored version is the expected one, and
// waits until an instance has accepted or refused it. Without expect, the version
// read before the write is expected, so that of two operators who apply a document
// at the same time one gets ErrConcurrentEdit.
func ApplyDocument(ctx context.Context, out io.Writer, address, path string, expect *int64) error {
	text, doc, err := loadDocument(path)
	if err != nil {
		return err
	}
	client := platform.NewClient(address, callTimeout, nil)
	key := configsync.DocumentPrefix + doc.Service
	version, err := expectedVersion(ctx, client, key, expect)
	if err != nil {
		return err
	}
	written, err := putDocument(ctx, client, key, text, version)
	if err != nil {
		return err
	}
	return awaitAccepted(ctx, out, client, doc.Service, written)
}

func expectedVersion(ctx context.Context, client *platform.Client, key string, expect *int64) (store.Position, error) {
	if expect != nil {
		return store.At(store.Version(*expect)), nil
	}
	object, err := client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.NoPosition, nil
	}
	return object.Position, err
}

// putDocument writes the document. If it is uncertain whether the write took
// effect, the document is read back.
func putDocument(
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
		return store.NoPosition, fmt.Errorf("%w (expected version %v)", ErrConcurrentEdit, version)
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
			return printStatus(out, status, version)
		}
		time.Sleep(acceptPollInterval)
	}
	return fmt.Errorf("document version %d of service %s is stored, but no instance has accepted or refused it within %v",
		version, service, acceptTimeout)
}

func printStatus(out io.Writer, status configsync.Status, version store.Position) error {
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

// ShowDocument prints the stored document with its version, and the version and
// generation of the accepted document.
func ShowDocument(ctx context.Context, out io.Writer, address, service string) error {
	client := platform.NewClient(address, callTimeout, nil)
	object, err := client.Get(ctx, configsync.DocumentPrefix+service)
	if err != nil {
		return err
	}
	accepted := configsync.Accepted{}
	if stored, err := client.Get(ctx, configsync.AcceptedPrefix+service); err == nil {
		if accepted, err = configsync.DecodeAccepted(stored.Value); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "# stored version %d; accepted version %d as generation %d\n%s",
		object.Position, accepted.DocumentVersion, accepted.Generation, object.Value)
	return err
}
