package origin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/origin/originpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Parameters of the records in the store, which outlive the loss of all instances. Few instances write them: each
// record has one writer, which gets a copy of it and writes all records that are its own into one object.
const (
	// archiveKind is the kind of the objects; each is named after its writer.
	archiveKind = "origins"
	// archiveInterval is how often a writer writes. Streams that began since are refused after the loss of all
	// instances.
	archiveInterval = time.Second
	// instancesPerWriter is the number of instances for which there is one writer.
	instancesPerWriter = 8
	// maxArchived is the number of records in one object, some 200 kB.
	maxArchived = 4096
	// archiveTimeout bounds a call to the store.
	archiveTimeout = time.Second
	// loadInterval is how often an instance reads the objects at most, which grow with the fleet. The first read shows
	// all that outlived a loss of all instances. loadRetryInterval is the interval after a failure; it doubles with
	// each in a row.
	loadInterval      = 15 * time.Second
	loadRetryInterval = time.Second
	// clockSlack is how much longer stored records are kept, since the clocks of instances differ.
	clockSlack = time.Minute
)

// Store holds the objects of records.
type Store interface {
	// Get reads an object; see store.Store.
	Get(ctx context.Context, key string) (store.Object, error)
	// Put writes an object if its position is the expected one; see store.Store.
	Put(ctx context.Context, key string, value []byte, expect store.Position) (store.Position, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (store.Listing, error)
}

// archivedRecords is a stored object. Records is an encoded originpb.Records, in base64 in the JSON.
type archivedRecords struct {
	// WrittenMs is when the object was written, in Unix milliseconds by the writer's clock.
	WrittenMs int64  `json:"written_ms"`
	Records   []byte `json:"records"`
}

// archive is the state of an instance's reads and writes of stored records.
type archive struct {
	// writing serializes the writes and guards the fields below.
	writing sync.Mutex
	// position is that of the own object; known says that the object has been read, and not changed by another since.
	position store.Position
	known    bool
	// written is the table's number of changes at the last write.
	written uint64
	// loading serializes the reads and guards the fields below.
	loading  sync.Mutex
	nextLoad time.Time
	// backoff is the interval after the last read, if that failed.
	backoff time.Duration
}

// writers returns the names of the instances that write records.
func writers(self string, others []Member) []string {
	names := []string{self}
	for _, m := range others {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names[:max(len(names)/instancesPerWriter, 1)]
}

// writerOf returns the name of the instance that writes a stream's record.
func writerOf(key Key, writers []string) string { return writers[int(key[0])%len(writers)] }

// RunArchive writes the records to the store, at a writer, until ctx ends.
func (d *Directory) RunArchive(ctx context.Context) {
	tick := time.NewTicker(archiveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.writeArchive(ctx)
		}
	}
}

// writeArchive writes the records of which this instance is the writer, if there are new ones.
func (d *Directory) writeArchive(ctx context.Context) {
	a := &d.archive
	a.writing.Lock()
	defer a.writing.Unlock()
	changes := d.table.numChanges()
	if changes == a.written {
		return
	}
	names := writers(d.Self, d.Others())
	if !slices.Contains(names, d.Self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	err := d.readOwnArchive(ctx)
	if err == nil {
		err = d.putArchive(ctx, d.ownRecords(names))
	}
	if err != nil {
		a.known = false
		d.OnFault(Fault{Step: "archive", Err: err})
		return
	}
	a.written = changes
}

// readOwnArchive reads the own object before the first write and after one that failed: an earlier process wrote it, or
// the store was rolled back.
func (d *Directory) readOwnArchive(ctx context.Context) error {
	a := &d.archive
	if a.known {
		return nil
	}
	object, err := d.Store.Get(ctx, d.archiveKey())
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	d.mergeArchive(object)
	a.position, a.known = object.Position, true
	return nil
}

// archiveKey returns the key of the own object.
func (d *Directory) archiveKey() string { return archiveKind + "/" + d.Self }

// putArchive writes the own object, if there are records.
func (d *Directory) putArchive(ctx context.Context, records []record) error {
	if len(records) == 0 {
		return nil
	}
	now := d.Now()
	message := &originpb.Records{}
	for _, r := range records {
		message.Records = append(message.Records, encode(r, now))
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	value, err := json.Marshal(archivedRecords{WrittenMs: now.UnixMilli(), Records: encoded})
	if err != nil {
		return err
	}
	position, err := d.Store.Put(ctx, d.archiveKey(), value, d.archive.position)
	if err == nil {
		d.archive.position = position
	}
	return err
}

// ownRecords returns the records of which this instance is the writer, at most maxArchived, those first that are kept
// longest.
func (d *Directory) ownRecords(writers []string) []record {
	own := slices.DeleteFunc(d.table.all(), func(r record) bool { return writerOf(r.key, writers) != d.Self })
	slices.SortFunc(own, func(a, b record) int {
		return cmp.Or(b.expires.Compare(a.expires), slices.Compare(a.key[:], b.key[:]))
	})
	return own[:min(len(own), maxArchived)]
}

// loadArchive reads all stored records, unless that was done lately.
func (d *Directory) loadArchive(ctx context.Context) {
	a := &d.archive
	a.loading.Lock()
	defer a.loading.Unlock()
	if d.Now().Before(a.nextLoad) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	listing, err := d.Store.List(ctx, archiveKind)
	if err != nil {
		d.OnFault(Fault{Step: "load", Err: err})
		a.backoff = min(max(2*a.backoff, loadRetryInterval), loadInterval)
		a.nextLoad = d.Now().Add(a.backoff)
		return
	}
	a.nextLoad, a.backoff = d.Now().Add(loadInterval), 0
	for _, object := range listing.Objects {
		d.mergeArchive(object)
	}
}

// mergeArchive adds the records of a stored object to the table.
func (d *Directory) mergeArchive(object store.Object) {
	if len(object.Value) == 0 {
		return
	}
	var stored archivedRecords
	message := &originpb.Records{}
	err := json.Unmarshal(object.Value, &stored)
	if err == nil {
		err = proto.Unmarshal(stored.Records, message)
	}
	if err != nil {
		d.OnFault(Fault{Step: "decode", Peer: object.Key, Err: err})
		return
	}
	now := d.Now()
	age := max(now.Sub(time.UnixMilli(stored.WrittenMs)), 0)
	for _, encoded := range message.Records {
		r, err := decode(encoded, now)
		if err != nil {
			d.OnFault(Fault{Step: "decode", Peer: object.Key, Records: 1, Err: err})
			continue
		}
		r.expires = r.expires.Add(clockSlack - age)
		if r.expires.After(now) && !d.table.merge(r) {
			d.drop(Fault{Step: "queue", Records: 1, Err: errTableFull})
		}
	}
}
