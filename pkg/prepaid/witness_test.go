package prepaid_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// Parameters of a draw whose writer crashes at once.
const (
	largeDraw = 3000
	// drainRounds is the number of rounds of requests that it takes to spend all available tokens.
	drainRounds = 60
)

// spendAll has the live instances spend all tokens that they get, and returns their number.
func (f *fleet) spendAll(t *testing.T) (spent int64) {
	for range drainRounds {
		for _, m := range f.nodes {
			if !m.crashed && spend(t, m, 100) {
				spent += 100
			}
		}
		f.tick()
	}
	return spent
}

// killWriterAndRollBack rolls the store back to before the last draw and kills its writer.
func (f *fleet) killWriterAndRollBack(writer *member) {
	f.rollBack(1)
	f.update(func() { writer.crashed = true })
	for _, m := range f.nodes {
		switch {
		case m.crashed:
		case m.storePartitioned:
			m.NotePeerEra(f.storeEra())
		default:
			m.noteStoreEra()
		}
	}
	f.tick()
}

// Guards against overspending when an instance spends the tokens of a draw and crashes before any
// other instance knows of the draw, and the store is rolled back to before it.
func TestDrawOfAWriterThatDiesAtOnceIsNotSpentTwice(t *testing.T) {
	const all = 10_000
	cases := []struct {
		name    string
		drawers []string
		// use has the tokens of a draw spent, and returns the writer and how many were spent.
		use func(t *testing.T, f *fleet) (writer *member, spent int64)
		// alsoCrashed are the indexes of instances that crash with the writer, withoutStore of those
		// that do not reach the store from then on.
		alsoCrashed, withoutStore []int
	}{
		{"by the drawer of all", []string{"i0", "i1"}, spendByWriter, nil, nil},
		{"by the drawer of all, of whose two witnesses one dies", []string{"i0", "i8"}, spendByWriter, []int{1}, []int{2}},
		{"each draws for itself", nil, spendByWriter, nil, nil},
		{"lent to another", nil, spendByBorrower, nil, nil},
		{"lent by the drawer of all", []string{"i0", "i1"}, spendByBorrower, nil, nil},
		{"one draw behind the other", nil, func(t *testing.T, f *fleet) (*member, int64) {
			_, before := spendByWriter(t, f)
			writer, spent := spendByWriter(t, f)
			return writer, before + spent
		}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 9, map[string]int64{account: all})
				f.crashesKnown, f.drawers = true, c.drawers
				writer, spent := c.use(t, f)
				for _, place := range c.alsoCrashed {
					f.update(func() { f.nodes[place].crashed = true })
				}
				for _, place := range c.withoutStore {
					f.update(func() { f.nodes[place].storePartitioned = true })
				}
				f.killWriterAndRollBack(writer)
				spent += f.spendAll(t)
				if spent > all {
					t.Errorf("%d tokens of %d were spent", spent, all)
				}
				if spent < all/2 {
					t.Errorf("only %d tokens of %d can be spent", spent, all)
				}
				time.Sleep(10 * time.Second) // lets calls in progress end
			})
		})
	}
}

func spendByWriter(t *testing.T, f *fleet) (*member, int64) {
	t.Helper()
	writer := f.nodes[0]
	if !spend(t, writer, largeDraw) {
		t.Fatal("nothing was drawn")
	}
	synctest.Wait()
	return writer, largeDraw
}

func spendByBorrower(t *testing.T, f *fleet) (*member, int64) {
	t.Helper()
	writer, borrower := f.nodes[0], f.nodes[5]
	f.update(func() { borrower.storePartitioned = true })
	lent, err := borrower.Lend(t.Context(), writer.name, account, largeDraw, 0)
	if err != nil || lent < largeDraw {
		t.Fatalf("lent %d, %v", lent, err)
	}
	synctest.Wait()
	f.update(func() { borrower.storePartitioned = false })
	return writer, lent // the borrower spends the lent tokens
}

// Guards against tokens that are drawn again because the writer of the first draw and its witnesses
// crashed together: instances that were granted tokens of that draw have seen it, too.
func TestAskersKnowTheDrawOfWhatTheyWereDealt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 9, map[string]int64{account: 10_000})
		f.crashesKnown, f.drawers = true, []string{"i0", "i8"}
		for range 4 {
			for _, m := range f.nodes {
				spend(t, m, 100)
			}
			f.tick()
		}
		drawn := f.rows()["i0"].Counters[account].Drawn
		f.tick() // the replies to all reports include the draw
		f.rollBack(1000)
		for _, m := range append([]*member{f.nodes[0]}, f.witnessesOfAll("i0")...) {
			f.update(func() { m.crashed = true })
		}
		f.nodes[8].noteStoreEra()
		for _, m := range f.nodes {
			if !m.crashed {
				m.NotePeerEra(f.storeEra())
			}
		}
		for range 8 {
			f.tick()
		}
		if got := f.rows()["i0"].Counters[account].Drawn; got < drawn {
			t.Errorf("the ledger has %d of %d tokens drawn by the crashed writer", got, drawn)
		}
	})
}

// witnessesOfAll returns all instances that have witnessed any of a writer's draws.
func (f *fleet) witnessesOfAll(writer string) []*member {
	var all []*member
	for _, m := range f.nodes {
		if slices.Contains(f.witnessesOf(writer, account, 1), m.name) {
			all = append(all, m)
		}
	}
	return all
}

// Guards against a draw that no instance reports after a store rollback: the witness was asked to
// remember it only after it had reported the draws of that era.
func TestDrawIsNotWitnessedOnceItsEraHasBeenTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, map[string]int64{account: 10_000})
		f.drawers = []string{"i0"}
		for _, m := range f.nodes {
			spend(t, m, 100)
		}
		f.rollBack(1000)
		f.nodes[0].noteStoreEra()
		f.nodes[1].NotePeerEra(f.storeEra())
		synctest.Wait()
		f.tick()
		row := &prepaidpb.SeenRow{Writer: "i2", Counters: []*prepaidpb.SeenCounter{{Budget: account, Drawn: 500}}}
		if !f.nodes[1].Node.Witness(&prepaidpb.WitnessRequest{Era: f.storeEra() - 1, Row: row}).Declined {
			t.Error("a draw of a past era is witnessed by an instance that has reported")
		}
		if f.nodes[1].Node.Witness(&prepaidpb.WitnessRequest{Era: f.storeEra(), Row: row}).Declined {
			t.Error("a draw of the current era is not witnessed")
		}
		time.Sleep(10 * time.Second) // lets calls in progress end
	})
}
