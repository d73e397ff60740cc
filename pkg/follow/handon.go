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

// How copies are handed on.
const (
	// handMost is how many bytes of copies an instance hands on in a second: half of a link of
	// 10 Mbit/s, the smallest of the users' machines. Who asks beyond it is told who got it.
	handMost = 600_000
	// freePacked is the size up to which a copy is handed on whatever was handed on before:
	// some thousand of them a second are below handMost.
	freePacked = 512
	// referred is how many of those that got a copy lately are named to one that is refused.
	referred = 4
	// catchUpPause spreads the next question of one that was refused: a copy of 40 kB takes
	// 35 ms on the smallest link.
	catchUpPause = 40 * time.Millisecond
	// fetchTimeout bounds one question with its answer: a copy that is on its way over a full link is
	// waited for, since who gives up in the middle begins again.
	fetchTimeout = 2 * time.Second
)

// hand hands copies on. It is safe for concurrent use.
type hand struct {
	mu     sync.Mutex
	packed map[string]packedCopy // by name, the last one
	// spent is what was handed on since began.
	spent int
	began time.Time
	// got are the addresses of those that got a copy last.
	got []string
}

// packedCopy is what changed of a copy, encoded.
type packedCopy struct {
	since, upTo store.Position
	// whole says that it is all of the copy, for whoever asks.
	whole bool
	bytes []byte
}

// serves reports whether this is what an instance lacks that has the copy up to a position. Who lacks
// nothing is not sent the whole.
func (p *packedCopy) serves(since, upTo store.Position) bool {
	return p.upTo == upTo && (p.since == since || (p.whole && since.Before(upTo)))
}

// pack returns what changed of a copy after a position. Many ask for the same: the last is kept.
func (h *hand) pack(name string, f *Follower, since store.Position) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	upTo, changed := f.fresh.positions()
	last, kept := h.packed[name]
	if kept && last.serves(since, upTo) {
		return last.bytes, nil
	}
	contents := f.contents.after(since)
	if contents == nil {
		return nil, nil
	}
	contents.LastChange = uint64(changed.Version)
	packed, err := pack(contents)
	if err != nil {
		return nil, err
	}
	h.packed[name] = packedCopy{since: since, upTo: upTo, whole: contents.Whole, bytes: packed}
	return packed, nil
}

// keep keeps what another instance handed on as it came, so that it is handed on without being
// compressed again.
func (h *hand) keep(name string, since store.Position, contents *followpb.Contents, packed []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.packed[name] = packedCopy{since: since, upTo: positionOf(contents), whole: contents.Whole, bytes: packed}
}

// may reports whether this instance may hand so many bytes on now.
func (h *hand) may(size int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.began) >= time.Second {
		h.began, h.spent = time.Now(), 0
	}
	if size > freePacked && h.spent > 0 && h.spent+size > handMost {
		return false
	}
	h.spent += size
	return true
}

// gave notes who got a copy.
func (h *hand) gave(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address == "" {
		return
	}
	h.got = append([]string{address}, h.got[:min(len(h.got), referred-1)]...)
}

func (h *hand) elsewhere() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.got...)
}

// HandOn answers another instance that lacks something.
func (p *Publisher) HandOn(request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	f := p.followers[request.Name]
	if f == nil {
		return &followpb.FetchReply{}, nil
	}
	age, read := f.Age()
	if !read {
		return &followpb.FetchReply{}, nil
	}
	since := store.Position{Era: store.Era(request.SinceEra), Version: store.Version(request.Since)}
	packed, err := p.hand.pack(request.Name, f, since)
	if err != nil {
		return nil, err
	}
	if !p.hand.may(len(packed)) {
		return &followpb.FetchReply{Busy: true, Elsewhere: p.hand.elsewhere()}, nil
	}
	p.hand.gave(request.Asker)
	return &followpb.FetchReply{Packed: packed, AgeMs: age.Milliseconds()}, nil
}

// FetchFrom asks the instance at an address for what this copy lacks. It reports whether that
// brought the copy further, and whom else to ask.
func (p *Publisher) FetchFrom(ctx context.Context, name, address string) (further bool, elsewhere []string, err error) {
	f := p.followers[name]
	since := f.fresh.upTo()
	request := &followpb.FetchRequest{Name: name, SinceEra: uint64(since.Era), Since: uint64(since.Version)}
	reply, err := p.peers.Fetch(ctx, address, request)
	if err != nil || len(reply.Packed) == 0 {
		return false, reply.GetElsewhere(), err
	}
	contents, err := unpack(reply.Packed)
	if err != nil {
		return false, nil, err
	}
	if further = f.Take(contents); further {
		p.hand.keep(name, since, contents, reply.Packed)
	}
	f.Confirm(lastChangeOf(contents), time.Duration(reply.AgeMs)*time.Millisecond)
	return further, nil, nil
}

// startCatchUp brings a copy up to a position that another instance published, unless that is
// being done.
func (p *Publisher) startCatchUp(name, from string, upTo store.Position) {
	p.once(p.catching, name, func() { p.catchUp(name, p.peers.AddressOf(from), upTo) })
}

// once does something for a copy in the background, unless that is being done.
func (p *Publisher) once(doing map[string]bool, name string, do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if doing[name] {
		return
	}
	doing[name] = true
	go func() {
		do()
		p.mu.Lock()
		defer p.mu.Unlock()
		doing[name] = false
	}()
}

// fetch is FetchFrom with a bound.
func (p *Publisher) fetch(ctx context.Context, name, address string) (further bool, elsewhere []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return p.FetchFrom(ctx, name, address)
}

// catchUp asks for what a copy lacks: first who published it, then whom that one handed it to,
// then anybody. It ends when the copy has it, or when the store is to be asked.
func (p *Publisher) catchUp(name, address string, upTo store.Position) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.Behind)
	defer cancel()
	for ctx.Err() == nil && p.followers[name].fresh.upTo().Before(upTo) {
		further, elsewhere, err := p.fetch(context.Background(), name, address)
		if err == nil && further {
			continue
		}
		if len(elsewhere) == 0 {
			elsewhere = p.peers.Addresses()
		}
		if len(elsewhere) > 0 {
			address = elsewhere[rand.IntN(len(elsewhere))]
		}
		pause.For(ctx, catchUpPause/2+rand.N(catchUpPause))
	}
}

// askedUnheard is how many others are asked when confirmations fail to come: one of them may be
// as unheard as this one, or dead.
const askedUnheard = 2

// askSome asks some other instances whether they know more of a copy, or have it confirmed. It
// waits for none of them.
func (p *Publisher) askSome(ctx context.Context, name string) {
	addresses := p.peers.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(askedUnheard, len(addresses))] {
		go func() {
			_, _, _ = p.FetchFrom(ctx, name, address) // who gets no answer asks the store soon
		}()
	}
}

// AskAround asks another instance, drawn anew each time, for what the copies lack, and waits for no
// answer: the store does not answer this one, and those that publish may not reach it.
func (p *Publisher) AskAround(ctx context.Context) {
	addresses := p.peers.Addresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	for name := range p.followers {
		p.once(p.asking, name, func() {
			_, _, _ = p.fetch(ctx, name, address) // the next failed call asks another
		})
	}
}
