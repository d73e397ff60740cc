package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// numberedRequest is a request identified by a number.
type numberedRequest byte

// Prompt implements Request.
func (numberedRequest) Prompt() Prompt { return Prompt{} }

func (h numberedRequest) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Fingerprint{byte(h) + 1}
}

// Guards against a cached hash that is stale after its record changed: two instances would consider
// different tables equal, and one of them would forward a request that the other has condemned.
func TestKeptHashIsThatOfTheRecord(t *testing.T) {
	const steps, requests, upstreams = 4000, 6, 4
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	tables := []*Table{NewTable("a", nil), NewTable("b", nil)}
	for step := range steps {
		now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		table := tables[random.IntN(2)]
		upstream := Upstream{Address: fmt.Sprint("u", random.IntN(upstreams)), Incarnation: fmt.Sprint(random.IntN(3))}
		run, err := table.Begin(numberedRequest(random.IntN(requests)), now)
		if err != nil {
			continue // condemned, or a trial is running elsewhere
		}
		switch random.IntN(5) {
		case 0:
			run.NoteConnectionEnd(Origin{}, upstream, now)
			run.NoteEnd()
		case 1:
			run.NoteAnswer()
		case 2:
			run.NoteEnd()
			table.NoteAnswer(upstream.Address, upstream.Incarnation, now)
		case 3:
			run.NoteEnd()
			table.NoteGone(upstream.Address, upstream.Incarnation, now)
		default:
			run.NoteEnd()
			tables[0].Merge(tables[1].All(), now, true)
			table.Expire(now)
		}
		for n, each := range tables {
			cached := each.Hash()
			each.mu.Lock()
			for _, e := range each.records {
				e.cachedHash = 0
			}
			each.mu.Unlock()
			if fresh := each.Hash(); cached != fresh {
				t.Fatalf("step %d: table %d has the cached hash %x, want %x", step, n, cached, fresh)
			}
		}
	}
}
