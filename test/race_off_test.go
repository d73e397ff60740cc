//go:build !race

package test

var raceFlags []string
