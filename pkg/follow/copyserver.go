package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Limits on serving copies to other instances and fetching them.
const (
	// maxServedBytesPerSecond bounds the bytes of copies that an instance serves per second: half
	// of a 10 Mbit/s link, the smallest of the users' machines. Requests beyond it are referred to
	// instances that received the copy.
	maxServedBytesPerSecond = 600_000
	// maxUnmeteredBytes is the size up to which a copy is served regardless of the rate: some
	// thousand of them per second stay below maxServedBytesPerSecond.
	maxUnmeteredBytes = 512
	// maxReferrals is the number of recent recipients of a copy that are named to a requester that
	// is refused.
	maxReferrals = 4
	// catchUpPause spreads the next request of an instance that was refused: a copy of 40 kB takes
	// 35 ms on the smallest link.
	catchUpPause = 40 * time.Millisecond
	// fetchTimeout bounds one request with its reply. It is long enough to transfer a copy over a
	// saturated link, since a requester that gives up during the transfer starts over.
	fetchTimeout = 2 * time.Second
)

// copyServer serves copies to other instances. It is safe for concurrent use.
type copyServer struct {
	mu    sync.Mutex
	cache map[string]packedCopy // last packed copy by name
	// servedBytes counts the bytes served since windowStart.
	servedBytes int
	windowStart time.Time
	// recipients holds the addresses that received a copy last.
	recipients []string
}

// packedCopy holds changes of a copy, encoded and compressed.
type packedCopy struct {
	since, upTo store.Position
	// whole is set if this is the whole copy, which serves any requester.
	whole bool
	bytes []byte
}

// matches reports whether p is what an instance needs whose copy is at position since. A requester
// that lacks nothing is not sent the whole copy.
func (p *packedCopy) matches(since, upTo store.Position) bool {
	return p.upTo == upTo && (p.since == since || (p.whole && since.Before(upTo)))
}

// pack returns the packed changes of a copy after a position. Many instances request the same
// changes, so the last result is cached.
func (s *copyServer) pack(name string, f *Follower, since store.Position) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, cached := s.cache[name]
	if cached && last.matches(since, f.contents.currentPosition()) {
		return last.bytes, nil
	}
	contents := f.contents.changesAfter(since)
	if contents == nil {
		return nil, nil
	}
	packed, err := pack(contents)
	if err != nil {
		return nil, err
	}
	s.cache[name] = packedCopy{since: since, upTo: positionOf(contents), whole: contents.Whole, bytes: packed}
	return packed, nil
}

// cacheReceived caches what another instance sent as it was received, so that it can be served
// without compressing it again.
func (s *copyServer) cacheReceived(name string, since store.Position, contents *followpb.Contents, packed []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache[name] = packedCopy{since: since, upTo: positionOf(contents), whole: contents.Whole, bytes: packed}
}

// allow reports whether this instance may serve size bytes now, and counts them if so.
func (s *copyServer) allow(size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.windowStart) >= time.Second {
		s.windowStart, s.servedBytes = time.Now(), 0
	}
	if size > maxUnmeteredBytes && s.servedBytes > 0 && s.servedBytes+size > maxServedBytesPerSecond {
		return false
	}
	s.servedBytes += size
	return true
}

// recordRecipient records the address that received a copy.
func (s *copyServer) recordRecipient(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address == "" {
		return
	}
	s.recipients = append([]string{address}, s.recipients[:min(len(s.recipients), maxReferrals-1)]...)
}

func (s *copyServer) recentRecipients() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.recipients...)
}

// HandleFetch answers another instance that requests the changes which its copy lacks.
func (p *Publisher) HandleFetch(request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	reply := &followpb.FetchReply{From: p.self, ClockMs: p.clockMillis()}
	f := p.followers[request.Name]
	if f == nil {
		return reply, nil
	}
	age, read := f.Age()
	if !read {
		return reply, nil
	}
	since := store.Position{Era: store.Era(request.SinceEra), Version: store.Version(request.Since)}
	packed, err := p.server.pack(request.Name, f, since)
	if err != nil {
		return nil, err
	}
	if !p.server.allow(len(packed)) {
		reply.Busy, reply.Elsewhere = true, p.server.recentRecipients()
		return reply, nil
	}
	p.server.recordRecipient(request.Asker)
	reply.Packed, reply.AgeMs = packed, age.Milliseconds()
	return reply, nil
}

// FetchFrom requests the changes that this copy lacks from the instance at an address. It reports
// whether they advanced the copy, and which instances to query instead.
func (p *Publisher) FetchFrom(ctx context.Context, name, address string) (advanced bool, referrals []string, err error) {
	f := p.followers[name]
	since := f.fresh.currentPosition()
	request := &followpb.FetchRequest{Name: name, SinceEra: uint64(since.Era), Since: uint64(since.Version)}
	requestedAt := time.Now()
	reply, err := p.peers.Fetch(ctx, address, request)
	if err != nil || len(reply.Packed) == 0 {
		return false, reply.GetElsewhere(), err
	}
	contents, err := unpack(reply.Packed)
	if err != nil {
		return false, nil, err
	}
	if advanced = f.ApplyContents(contents); advanced {
		p.server.cacheReceived(name, since, contents, reply.Packed)
	}
	// The reply was made at an unknown time since the request.
	age := time.Duration(reply.AgeMs) * time.Millisecond
	took := time.Since(requestedAt)
	f.Confirm(lastChangeOf(contents), age+took)
	if p.onReply != nil {
		p.onReply(name, age, took)
	}
	return advanced, nil, nil
}

// startCatchUp starts to bring a copy up to a position that another instance published, unless that
// is already in progress.
func (p *Publisher) startCatchUp(name, from string, upTo store.Position) {
	p.startOnce(p.catchingUp, name, func() { p.catchUp(name, p.peers.AddressOf(from), upTo) })
}

// startOnce runs a function under a name in the background, unless one is already running.
func (p *Publisher) startOnce(running map[string]bool, name string, fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running[name] {
		return
	}
	running[name] = true
	go func() {
		fn()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(running, name)
	}()
}

// fetchWithTimeout is FetchFrom bounded by fetchTimeout.
func (p *Publisher) fetchWithTimeout(ctx context.Context, name, address string) (advanced bool, referrals []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return p.FetchFrom(ctx, name, address)
}

// catchUp requests the changes that a copy lacks up to a published position: first from the instance
// that published it, then from the instances that it names as recent recipients, then from any. It
// ends when the copy has reached the position, or when it is time to call the store.
func (p *Publisher) catchUp(name, address string, upTo store.Position) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.BehindTimeout)
	defer cancel()
	for ctx.Err() == nil && p.followers[name].fresh.currentPosition().Before(upTo) {
		advanced, referrals, err := p.fetchWithTimeout(context.Background(), name, address)
		if err == nil && advanced {
			continue
		}
		if len(referrals) == 0 {
			referrals = p.peers.Addresses()
		}
		if len(referrals) > 0 {
			address = referrals[rand.IntN(len(referrals))]
		}
		pause.For(ctx, catchUpPause/2+rand.N(catchUpPause))
	}
}

// numQueriedPeers is how many other instances are queried when confirmations stop arriving: one of
// them may lack confirmations as well, or have crashed.
const numQueriedPeers = 2

// querySomePeers queries some other instances for changes to a copy or a confirmation of it. It
// does not wait for the replies.
func (p *Publisher) querySomePeers(ctx context.Context, name string) {
	addresses := p.peers.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(numQueriedPeers, len(addresses))] {
		go func() {
			_, _, _ = p.fetchWithTimeout(ctx, name, address) // without a reply the store is called soon
		}()
	}
}

// QueryRandomPeer requests what the copies lack from another instance, chosen at random each time,
// without waiting for a reply. It is used when the store does not answer this instance, because the
// publishing instances may not reach it either.
func (p *Publisher) QueryRandomPeer(ctx context.Context) {
	addresses := p.peers.Addresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	for name := range p.followers {
		p.startOnce(p.querying, name, func() {
			_, _, _ = p.fetchWithTimeout(ctx, name, address) // the next failed call queries another instance
		})
	}
}
