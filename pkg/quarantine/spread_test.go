package quarantine

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
)

// lossyPeers is one other instance. The first messages to it are lost.
type lossyPeers struct {
	numLost  int64
	numSent  atomic.Int64
	received atomic.Int64
}

func (p *lossyPeers) Choose(int) (addresses []string, all bool) { return []string{"peer"}, true }

func (p *lossyPeers) Exchange(context.Context, string, *quarantinepb.Records) (*quarantinepb.Records, error) {
	if p.numSent.Add(1) <= p.numLost {
		return nil, errMessageLost
	}
	p.received.Add(1)
	return &quarantinepb.Records{}, nil
}

// pushCrash pushes the record of one crash to peers and returns the steps that failed.
func pushCrash(t *testing.T, peers Peers) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan Fault, pushAttempts)
		s := NewSpreader("self", peers, time.Now, func([]Record) {}, func(f Fault) { failed <- f })
		go s.Run(ctx)
		runAndCrash(t, s.Table(), "fatal", 0)
		synctest.Wait()
		cancel()
		synctest.Wait()
		close(failed)
		for f := range failed {
			faults = append(faults, f.Step+" "+f.Peer)
		}
	})
	return faults
}

// Guards against an instance that runs a crashing request once more because the only message that told it
// of the crash was lost.
func TestCrashIsToldAgainAfterALostMessage(t *testing.T) {
	peers := &lossyPeers{numLost: 1}
	if faults := pushCrash(t, peers); len(faults) > 0 || peers.received.Load() != 1 {
		t.Errorf("received %d times, faults %v", peers.received.Load(), faults)
	}
}

// Guards against records that silently do not reach another instance.
func TestLostMessagesAreReported(t *testing.T) {
	peers := &lossyPeers{numLost: pushAttempts}
	if faults := pushCrash(t, peers); !slices.Equal(faults, []string{"push peer"}) {
		t.Errorf("faults %v, received %d times", faults, peers.received.Load())
	}
}
