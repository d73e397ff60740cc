//go:build race

package follow

// largeFleet is the number of instances in a large fleet: a tenth with the race detector, since
// each step takes some thirty times as long.
const largeFleet = 30
