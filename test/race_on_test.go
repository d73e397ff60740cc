//go:build race

package test

// raceFlags builds the programs with the race detector when the tests have it. A
// race ends the program, which the test that needs it notices.
var raceFlags = []string{"-race"}
