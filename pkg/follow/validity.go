package follow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Parameters of the use of copies.
const (
	// maxConfirmationWait is how long after a copy has expired requests may wait for its confirmation. After that
	// they are refused at once.
	maxConfirmationWait = 300 * time.Millisecond
	// confirmationPoll is how often a waiting request checks.
	confirmationPoll = 20 * time.Millisecond
	// queryInterval is the minimum time between two queries for one copy, and agreedQueryInterval that after an
	// instance has replied that it knows no more. queryLead is how long before the copy expires the first query
	// is made.
	queryInterval       = 250 * time.Millisecond
	agreedQueryInterval = 500 * time.Millisecond
	queryLead           = 200 * time.Millisecond
	// agreementLifetime is how long the reply of an instance that knows no more counts.
	agreementLifetime = time.Second
	// maxAgreementTime is how long such a reply may take: over a slow link of its own, an instance that knows as
	// little may be heard sooner than one that knows more.
	maxAgreementTime = 250 * time.Millisecond
)

// ExpiredError means that a copy must not be acted upon: it may lack a change that is to be in force, and other
// instances may have it.
type ExpiredError struct {
	// Copy is the name of the copy.
	Copy string
	// Age is the time since the copy was last known to be complete, Limit how long it may be used.
	Age, Limit time.Duration
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("copy of the %s was confirmed %v ago, more than %v", e.Copy, e.Age.Round(time.Millisecond), e.Limit)
}

// Validity decides whether an instance may act on its copies of the store. It is safe for concurrent use.
//
// The timeouts by which a copy is confirmed keep its bound only while messages take as long as on an idle link.
// Over a saturated link, or to a store that is slow for this instance, they do not, and nothing tells the
// instance what it has missed. So it looks at the age of a copy at the moment at which it acts: a copy that was
// not confirmed within its bound is not acted upon. There are two exceptions, in which clients are better
// served than refused: other instances know no more, since the store answers nobody, or nobody is heard at all,
// since the instance is cut off and cannot find out.
type Validity struct {
	publisher *Publisher
	hearing   *Hearing
	limits    map[string]time.Duration
	// names are the keys of limits in a fixed order.
	names []string

	mu      sync.Mutex
	replies map[string]*replies
	// expiredSince is when a copy expired; zero while none is.
	expiredSince time.Time
}

// replies are what other instances replied about one copy.
type replies struct {
	queriedAt time.Time
	// agreedAt is when an instance replied whose copy had expired as well.
	agreedAt time.Time
}

// NewValidity returns the validity of a publisher's copies. bounds has the time, by copy, within which a change
// must be in force; a copy without one never expires.
func NewValidity(publisher *Publisher, hearing *Hearing, bounds map[string]time.Duration) *Validity {
	v := &Validity{
		publisher: publisher, hearing: hearing, limits: map[string]time.Duration{}, replies: map[string]*replies{},
	}
	for name, bound := range bounds {
		v.limits[name] = usableTime(bound)
		v.replies[name] = &replies{}
		v.names = append(v.names, name)
	}
	slices.Sort(v.names)
	publisher.onReply = v.noteReply
	hearing.onQuiet = v.queryAll
	return v
}

// usableTime returns how old a copy may be when a request is sent, so that the request arrives within the bound.
func usableTime(bound time.Duration) time.Duration {
	return bound - min(requestTime, fraction(bound, reservedFraction))
}

// Check returns an *ExpiredError if a copy must not be acted upon now.
func (v *Validity) Check() error {
	var expired error
	for _, name := range v.names {
		if err := v.checkCopy(name); err != nil {
			expired = err
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case expired == nil:
		v.expiredSince = time.Time{}
	case v.expiredSince.IsZero():
		v.expiredSince = time.Now()
	}
	return expired
}

func (v *Validity) checkCopy(name string) error {
	limit := v.limits[name]
	age, read := v.publisher.followers[name].Age()
	if !read || age <= limit-queryLead {
		return nil
	}
	v.query(name)
	if age <= limit || v.hearing.Isolated() || v.nobodyKnowsMore(name) {
		return nil
	}
	return &ExpiredError{Copy: name, Age: age, Limit: limit}
}

// query asks other instances about a copy, unless they have just been asked.
func (v *Validity) query(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, interval := v.replies[name], queryInterval
	if time.Since(r.agreedAt) < agreedQueryInterval {
		interval = agreedQueryInterval
	}
	if time.Since(r.queriedAt) >= interval {
		r.queriedAt = time.Now()
		v.publisher.querySomePeers(context.Background(), name)
	}
}

// queryAll asks other instances about all copies. While nobody is heard, the replies tell a slow way from a lost one,
// and they must come before the copies expire.
func (v *Validity) queryAll() {
	for _, name := range v.names {
		v.query(name)
	}
}

// nobodyKnowsMore reports whether another instance has replied lately that its copy has expired, too. One that knows
// more would have confirmed this copy by its reply.
func (v *Validity) nobodyKnowsMore(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.replies[name].agreedAt) <= agreementLifetime
}

// noteReply records the age that another instance's copy had when it replied, and how long the reply took.
func (v *Validity) noteReply(name string, age, took time.Duration) {
	limit, limited := v.limits[name]
	if !limited || age <= limit || took > maxAgreementTime {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replies[name].agreedAt = time.Now()
}

// Await waits until the copies may be acted upon. It returns an *ExpiredError if they may not maxConfirmationWait
// after they expired, or when ctx ends.
func (v *Validity) Await(ctx context.Context) error {
	for {
		err := v.Check()
		if err == nil || v.expiredFor() >= maxConfirmationWait || !pause.For(ctx, confirmationPoll) {
			return err
		}
	}
}

// Lasting reports whether copies have expired and were not confirmed for so long that clients are better served by
// other instances.
func (v *Validity) Lasting() bool { return v.Check() != nil && v.expiredFor() >= maxConfirmationWait }

// expiredFor returns for how long a copy has expired; 0 if none has.
func (v *Validity) expiredFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.expiredSince.IsZero() {
		return 0
	}
	return time.Since(v.expiredSince)
}
