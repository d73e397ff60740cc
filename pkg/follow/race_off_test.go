//go:build !race

package follow

// largeFleet is the number of instances in a large fleet.
const largeFleet = 295
