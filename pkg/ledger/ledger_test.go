package ledger

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const id = "s/a"

func newShard(prepaid int64) *Shard {
	s, _ := Decode(nil)
	s.SetPrepaid("s", 1, map[string]int64{id: prepaid})
	return s
}

// A witness that was replaced still thinks the holder its charge and the holder
// dead. The row names another; the late one must change nothing.
func TestOnlyTheNamedWitnessReclaims(t *testing.T) {
	s := newShard(1000)
	if _, err := s.Draw(id, "x#1", "x", "y", 500, true); err != nil {
		t.Fatal(err)
	}
	if err := s.NameWitness(id, "x#1", "z", 200); err != nil {
		t.Fatal(err)
	}
	if err := s.Reclaim(id, "x#1", "y", 0, nil); !errors.Is(err, ErrNotWitness) {
		t.Errorf("got %v", err)
	}
	if free := s.Budgets[id].Free(); free != 500 {
		t.Errorf("free is %d", free)
	}
}

// A draw's answer is lost and the holder asks again for the same target. The
// second write must find the first and draw nothing more.
func TestRepeatedDrawDrawsOnce(t *testing.T) {
	s := newShard(1000)
	for range 3 {
		g, err := s.Draw(id, "x#1", "x", "y", 300, true)
		if err != nil || g.Drawn != 300 {
			t.Fatalf("drawn %+v, %v", g, err)
		}
	}
	if free := s.Budgets[id].Free(); free != 700 {
		t.Errorf("free is %d", free)
	}
}

// A grant was reclaimed and settled while its holder slept. The holder wakes and
// draws on it: making it anew would be a grant nobody accounts for.
func TestSettledGrantIsNotMadeAnew(t *testing.T) {
	s := newShard(1000)
	_, _ = s.Draw(id, "x#1", "x", "y", 300, true)
	if err := s.Reclaim(id, "x#1", "y", 0, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Draw(id, "x#1", "x", "y", 400, false); !errors.Is(err, ErrGrantMissing) {
		t.Errorf("got %v", err)
	}
}

// A holder's offer is applied twice after a lost answer, and somebody else wants
// more meanwhile. Only what was set aside may leave the grant.
func TestRepeatedGiveBackGivesOnce(t *testing.T) {
	s := newShard(1000)
	_, _ = s.Draw(id, "x#1", "x", "y", 800, true)
	for range 3 {
		s.Want(id, 100)
		if err := s.GiveBack(id, "x#1", 700); err != nil {
			t.Fatal(err)
		}
	}
	if drawn := s.Budgets[id].Grants["x#1"].Drawn; drawn != 700 {
		t.Errorf("drawn is %d", drawn)
	}
}

// Whatever operations come in whatever order, no write makes more withheld and
// settled than was prepaid.
func TestNoOperationWithholdsMoreThanPrepaid(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("settled + held ≤ prepaid", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newShard(1000)
		for range 200 {
			randomOperation(s, rng)
			if s.Budgets[id].Free() < 0 {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func randomOperation(s *Shard, rng *rand.Rand) {
	names := []string{"x#1", "x#2", "y#1"}
	grant := names[rng.IntN(len(names))]
	tokens := rng.Int64N(600)
	evidence := map[string]Evidence{"p": {Used: rng.Int64N(50), Returned: rng.Int64N(50)}}
	switch rng.IntN(8) {
	case 0, 1:
		_, _ = s.Draw(id, grant, grant[:1], "w", tokens, rng.IntN(2) == 0)
	case 6:
		s.Want(id, tokens)
	case 7:
		_ = s.GiveBack(id, grant, tokens)
	case 2:
		_ = s.Fold(id, grant, tokens)
	case 3:
		_ = s.NameWitness(id, grant, "w", tokens)
	case 4:
		_ = s.Reclaim(id, grant, "w", tokens, evidence)
	default:
		_ = s.AddEvidence(id, grant, evidence)
	}
}
