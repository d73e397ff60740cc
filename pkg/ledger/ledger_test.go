package ledger

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const testBudgetID = "s/a"

func newShard(prepaid int64) *Shard {
	s, _ := Decode(nil)
	s.SetPrepaid("s", 1, map[string]int64{testBudgetID: prepaid})
	return s
}

// A replaced witness considers the holder silent and tries to reclaim the grant.
// The ledger names another witness, so the reclaim must change nothing.
func TestOnlyTheNamedWitnessReclaims(t *testing.T) {
	s := newShard(1000)
	if _, err := s.Draw(testBudgetID, "x#1", "x", "y", 500, true); err != nil {
		t.Fatal(err)
	}
	if err := s.NameWitness(testBudgetID, "x#1", "z", 200); err != nil {
		t.Fatal(err)
	}
	if err := s.Reclaim(testBudgetID, "x#1", "y", 0, nil); !errors.Is(err, ErrNotWitness) {
		t.Errorf("Reclaim by the replaced witness returned %v, want %v", err, ErrNotWitness)
	}
	if free := s.Budgets[testBudgetID].Free(); free != 500 {
		t.Errorf("%d tokens are free, want 500", free)
	}
}

// The answer to a draw is lost and the holder retries it with the same target.
// The retried write must draw nothing more.
func TestRepeatedDrawDrawsOnce(t *testing.T) {
	s := newShard(1000)
	for range 3 {
		g, err := s.Draw(testBudgetID, "x#1", "x", "y", 300, true)
		if err != nil || g.Drawn != 300 {
			t.Fatalf("Draw returned %+v, %v; want 300 tokens drawn", g, err)
		}
	}
	if free := s.Budgets[testBudgetID].Free(); free != 700 {
		t.Errorf("%d tokens are free, want 700", free)
	}
}

// A grant is reclaimed and settled while its holder is paused. The holder resumes
// and draws on it. Creating the grant again would make one that no instance
// accounts for.
func TestSettledGrantIsNotMadeAnew(t *testing.T) {
	s := newShard(1000)
	_, _ = s.Draw(testBudgetID, "x#1", "x", "y", 300, true)
	if err := s.Reclaim(testBudgetID, "x#1", "y", 0, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Draw(testBudgetID, "x#1", "x", "y", 400, false); !errors.Is(err, ErrGrantMissing) {
		t.Errorf("Draw on a settled grant returned %v, want %v", err, ErrGrantMissing)
	}
}

// A holder's return of tokens is applied again after a lost answer, while another
// holder reports a new shortage. Only the tokens set aside before the first write
// may leave the grant.
func TestRepeatedGiveBackGivesOnce(t *testing.T) {
	s := newShard(1000)
	_, _ = s.Draw(testBudgetID, "x#1", "x", "y", 800, true)
	for range 3 {
		s.NoteShortage(testBudgetID, 100)
		if err := s.ReturnTokens(testBudgetID, "x#1", 700); err != nil {
			t.Fatal(err)
		}
	}
	if drawn := s.Budgets[testBudgetID].Grants["x#1"].Drawn; drawn != 700 {
		t.Errorf("%d tokens are drawn, want 700", drawn)
	}
}

// No sequence of operations makes the settled and held tokens of a budget exceed
// the prepaid amount.
func TestNoOperationWithholdsMoreThanPrepaid(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("settled + held ≤ prepaid", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newShard(1000)
		for range 200 {
			randomOperation(s, rng)
			if s.Budgets[testBudgetID].Free() < 0 {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func randomOperation(s *Shard, rng *rand.Rand) {
	grantIDs := []string{"x#1", "x#2", "y#1"}
	grantID := grantIDs[rng.IntN(len(grantIDs))]
	tokens := rng.Int64N(600)
	usages := map[string]Usage{"p": {Used: rng.Int64N(50), Returned: rng.Int64N(50)}}
	switch rng.IntN(8) {
	case 0, 1:
		_, _ = s.Draw(testBudgetID, grantID, grantID[:1], "w", tokens, rng.IntN(2) == 0)
	case 6:
		s.NoteShortage(testBudgetID, tokens)
	case 7:
		_ = s.ReturnTokens(testBudgetID, grantID, tokens)
	case 2:
		_ = s.RecordUsed(testBudgetID, grantID, tokens)
	case 3:
		_ = s.NameWitness(testBudgetID, grantID, "w", tokens)
	case 4:
		_ = s.Reclaim(testBudgetID, grantID, "w", tokens, usages)
	default:
		_ = s.MergeUsages(testBudgetID, grantID, usages)
	}
}
