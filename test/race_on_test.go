//go:build race

package test

// raceFlags builds the programs with the race detector if the tests are built with
// it. A data race ends the program (GORACE=halt_on_error=1), and reportRace fails the
// test with what the detector printed.
var raceFlags = []string{"-race"}
