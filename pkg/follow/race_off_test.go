//go:build !race

package follow

// largeFleet is how many instances a large fleet has.
const largeFleet = 295
