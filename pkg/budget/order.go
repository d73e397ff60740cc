package budget

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys fixes the order in which a duty goes through a map, so that the
// same history always takes the same course and can be played again.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedTargets orders reports by holder, then witness.
func sortedTargets(r reports) []reportTarget {
	return slices.SortedFunc(maps.Keys(r), func(a, b reportTarget) int {
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.witness, b.witness))
	})
}
