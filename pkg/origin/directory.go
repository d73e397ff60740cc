package origin

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/origin/originpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/ring"
)

// Parameters of how records are kept at other instances.
const (
	// numCopies is the number of other instances that hold a record. They are in different failure
	// domains as far as possible, so a record survives the loss of any one instance or domain.
	numCopies = 3
	// numCopiesSmallFleet is that number if there are at most maxSmallFleet other instances, of which all
	// but one may be lost at once: most records survive that, too.
	numCopiesSmallFleet = 5
	maxSmallFleet       = 12
	// numAskedFirst and numAsked are the numbers of instances that are asked for a record: first some of
	// those that hold it unless members came or left, then those that may hold it otherwise.
	numAskedFirst = 3
	numAsked      = 8
	// askTimeout bounds the wait for the answers of the instances that are asked at once.
	askTimeout = 150 * time.Millisecond
	// batchInterval is how long records wait for others to the same instance. A record that waits is
	// lost with the instance.
	batchInterval = 5 * time.Millisecond
	// maxPending is the number of records that wait to be sent.
	maxPending = 4096
	// maxBatch is the number of records in one message.
	maxBatch = 4096
	// maxSending is the number of messages in flight.
	maxSending = 64
	// maxLookups is the number of records that other instances are asked for at the same time.
	maxLookups = 256
	// expireInterval is how often expired records are dropped.
	expireInterval = time.Second
)

// Causes of records that are not sent or not kept.
var (
	errQueueFull      = errors.New("too many records wait to be sent")
	errTooManySent    = errors.New("too many messages are in flight")
	errTooManyLookups = errors.New("too many records are being asked for")
	errTableFull      = errors.New("the table or the account's part of it is full")
)

// Peers calls other instances. The calls return within a bounded time.
type Peers interface {
	// KeepOrigins sends records to the instance at an address.
	KeepOrigins(ctx context.Context, address string, records *originpb.Records) error
	// FindOrigin asks the instance at an address for a record.
	FindOrigin(ctx context.Context, address string, request *originpb.FindRequest) (*originpb.FindReply, error)
}

// Deps holds the dependencies of a Directory.
type Deps struct {
	// Self is the instance's name, which stays the same when it restarts.
	Self string
	// Store keeps records beyond the loss of all instances; nil for none.
	Store Store
	// Others returns the other live instances.
	Others  func() []Member
	Peers   Peers
	OnFault func(Fault)
	Metrics metrics.Registry
	Now     func() time.Time
}

// Directory holds one instance's records and exchanges them with the other instances. It is safe for
// concurrent use. It is created by New.
type Directory struct {
	Deps
	table   *table
	pending *ring.Queue[record]
	// sending and lookups hold an item for each message in flight and each lookup in progress.
	sending, lookups chan struct{}
	archive          archive
	counters         counters
}

type counters struct{ recorded, found, unknown, dropped metrics.Counter }

// New returns an empty directory. The caller must run Run.
func New(deps Deps) *Directory {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, deps.Metrics) }
	return &Directory{
		Deps:    deps,
		table:   newTable(deps.Now),
		pending: ring.New[record](maxPending),
		sending: make(chan struct{}, maxSending),
		lookups: make(chan struct{}, maxLookups),
		counters: counters{
			recorded: counter("origins.recorded"),
			found:    counter("origins.found"),
			unknown:  counter("origins.unknown"),
			dropped:  counter("origins.dropped"),
		},
	}
}

// numCopiesAmong returns how many of the other instances hold a record.
func numCopiesAmong(numOthers int) int {
	if numOthers <= maxSmallFleet {
		return numCopiesSmallFleet
	}
	return numCopies
}

// Size returns the number of records that this instance holds.
func (d *Directory) Size() int { return d.table.size() }

// Record records what began the stream of an account's request. The record is kept for a lifetime, in
// which the client may resume the stream. Record does not wait for other instances.
func (d *Directory) Record(account, requestID string, o Origin, lifetime time.Duration) {
	r := newRecord(account, requestID, o, d.Now().Add(lifetime))
	if !d.table.merge(r) {
		d.drop(Fault{Step: "queue", Records: 1, Err: errTableFull})
		return
	}
	d.counters.recorded.Inc(1)
	if !d.pending.TryPut(r) {
		d.drop(Fault{Step: "queue", Records: 1, Err: errQueueFull})
	}
}

func (d *Directory) drop(fault Fault) {
	d.counters.dropped.Inc(int64(fault.Records))
	d.OnFault(fault)
}

// Run sends copies of new records to other instances and drops expired ones until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	expiry := time.NewTicker(expireInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			d.table.expire()
		case r := <-d.pending.Items():
			pause.For(ctx, batchInterval)
			d.sendCopies(ctx, d.takePending(r))
		}
	}
}

// takePending returns a record and all others that wait.
func (d *Directory) takePending(first record) []record {
	records := []record{first}
	for len(records) < maxBatch {
		select {
		case r := <-d.pending.Items():
			records = append(records, r)
		default:
			return records
		}
	}
	return records
}

// Find returns what began the stream of an account's request. Errors: ErrConflict, *UnknownError.
func (d *Directory) Find(ctx context.Context, account, requestID string) (Origin, error) {
	r, err := d.find(ctx, KeyOf(account, requestID))
	switch {
	case err != nil:
		d.counters.unknown.Inc(1)
		return Origin{}, err
	case r.conflict:
		return Origin{}, ErrConflict
	}
	d.counters.found.Inc(1)
	return r.origin, nil
}

func (d *Directory) find(ctx context.Context, key Key) (record, error) {
	if r, found := d.table.find(key); found {
		return r, nil
	}
	unknown := &UnknownError{}
	select {
	case d.lookups <- struct{}{}:
		defer func() { <-d.lookups }()
	default:
		d.OnFault(Fault{Step: "find", Records: 1, Err: errTooManyLookups})
		return record{}, unknown
	}
	ranked := rankMembers(key, d.Others(), numAsked)
	first := min(numAskedFirst, len(ranked))
	for _, group := range [][]Member{ranked[:first], ranked[first:]} {
		r, answered := d.ask(ctx, key, group)
		unknown.Asked += len(group)
		unknown.Answered += answered
		if r != nil {
			d.table.merge(*r) // if the table is full, the next client has to ask again
			return *r, nil
		}
	}
	if d.Store != nil {
		d.loadArchive(ctx)
		if r, found := d.table.find(key); found {
			return r, nil
		}
	}
	return record{}, unknown
}

// HandOver sends copies of all records to other instances and writes the own ones to the store, for an instance that
// stops; it returns when they have answered or ctx ends.
func (d *Directory) HandOver(ctx context.Context) {
	all := d.table.all()
	for len(all) > 0 {
		count := min(maxBatch, len(all))
		d.sendCopies(ctx, all[:count]).Wait()
		all = all[count:]
	}
	if d.Store != nil {
		d.writeArchive(ctx)
	}
}
