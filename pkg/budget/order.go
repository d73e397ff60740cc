package budget

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in order. Maps are processed in this order
// so that a test run is deterministic and can be reproduced from its seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedTargets returns the targets of reports, ordered by holder, then witness.
func sortedTargets(byTarget reports) []reportTarget {
	return slices.SortedFunc(maps.Keys(byTarget), func(a, b reportTarget) int {
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.witness, b.witness))
	})
}
