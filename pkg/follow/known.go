package follow

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// known is what is known of a copy's completeness. It is safe for concurrent use.
type known struct {
	mu sync.Mutex
	// since is the version up to which the copy has everything.
	since store.Version
	// mark is the version of the last known change, or a later one up to since.
	mark store.Version
	// read is when an own call was last answered, word when another instance last
	// confirmed the copy.
	read, word time.Time
	// told is the last change that others told of, toldAt when this copy first lacked it.
	told   store.Version
	toldAt time.Time
	// lacks wakes the guard of a watch.
	lacks chan struct{}
}

func (k *known) upTo() store.Version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.since
}

// forget makes the next call read the whole list.
func (k *known) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.since = store.NoVersion
}

// reach notes an answered call.
func (k *known) reach(since, mark store.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.since = max(k.since, since)
	k.mark = max(k.mark, mark)
	k.read = time.Now()
}

// hear notes what another instance read. A version that this copy has reached confirms it
// as of the time of that reading, also if the other has not seen this copy's last change yet;
// a later one shows that it lacks something.
func (k *known) hear(changed store.Version, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if changed <= k.since {
		if said := time.Now().Add(-age); said.After(k.word) {
			k.word = said
		}
		return
	}
	if k.told <= k.since {
		k.toldAt = time.Now()
	}
	k.told = max(k.told, changed)
	select {
	case k.wake() <- struct{}{}:
	default: // it will look anyway
	}
}

// doubt returns what would put the copy in doubt first, and how long until then.
func (k *known) doubt(patience time.Duration) (Doubt, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	unconfirmed := patience - time.Since(k.word)
	if k.told <= k.since {
		return DoubtUnconfirmed, unconfirmed
	}
	behind := behindLimit - time.Since(k.toldAt)
	if behind <= unconfirmed {
		return DoubtBehind, behind
	}
	return DoubtUnconfirmed, unconfirmed
}

// behind returns a channel that receives when the copy may lack something.
func (k *known) behind() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wake()
}

func (k *known) wake() chan struct{} {
	if k.lacks == nil {
		k.lacks = make(chan struct{}, 1)
	}
	return k.lacks
}

func (k *known) age() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.read.IsZero() {
		return 0, false
	}
	last := k.read
	if k.word.After(last) {
		last = k.word
	}
	return time.Since(last), true
}

func (k *known) changed() (store.Version, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mark, time.Since(k.read), !k.read.IsZero()
}
