//go:build race

package follow

// largeFleet is how many instances a large fleet has: with the race detector a tenth, since each step
// takes some thirty times as long.
const largeFleet = 30
