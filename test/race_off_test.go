//go:build !race

package test

var raceFlags []string

// maxSoakMemoryBytes bounds the memory of a process in the soak, below that of the smallest machines (184 MB).
const maxSoakMemoryBytes = 160 << 20
