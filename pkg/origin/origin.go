// Package origin tells which upstreams began resumable streams. What two software versions write does not
// fit together, so a stream may go on only at the service and version that sent its first event.
package origin

// Origin is what began a stream.
type Origin struct {
	// Service is the upstream's service, Version the version of its software.
	Service, Version string
}
