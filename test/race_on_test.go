//go:build race

package test

// raceFlags builds the programs with the race detector if the tests are built with
// it. A data race ends the program (GORACE=halt_on_error=1), and reportRace fails the
// test with what the detector printed.
var raceFlags = []string{"-race"}

// maxSoakMemoryBytes bounds the memory of a process in the soak. With the race detector the program takes some
// three times as much.
const maxSoakMemoryBytes = 300 << 20
